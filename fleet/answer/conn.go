package answer

import "net"

// connBufferBytes is the size of each buffer of the system for a connection that carries answers, in
// bytes; Linux doubles it. With two of them, the frames at both ends and what TLS and net/http hold,
// less is under way than DefaultRetainBytes/2, which a Buffer holds for resuming.
const connBufferBytes = 64 << 10

// BoundConn bounds what the system holds for a connection that carries answers, at either end of it.
// A connection that is neither TCP nor TLS over TCP stays as it is.
func BoundConn(c net.Conn) error {
	if outer, ok := c.(interface{ NetConn() net.Conn }); ok { // a *tls.Conn
		c = outer.NetConn()
	}
	plain, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := plain.SetReadBuffer(connBufferBytes); err != nil {
		return err
	}
	return plain.SetWriteBuffer(connBufferBytes)
}
