// Package tcp provides TCP connections whose failure is known to their reader. Its entry point
// is Conn, which New returns.
//
// TCP has two ways to end the data of a peer: FIN, which follows all of it, and RST, after which
// data may be missing (RFC 9293, sections 3.5.2 and 3.6). A socket keeps a reset as a pending
// error, which one system call takes; reads that follow report the end of the data. If a
// goroutine writes while another one reads, the writer may take the error, and the reader can't
// tell the reset from a FIN. That matters where the end of the connection marks the end of a
// message, such as an HTTP response without a length (RFC 9112, section 6.3).
package tcp
