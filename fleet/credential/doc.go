// Package credential authenticates the fleet's processes and its operators to each
// other: by client certificates (mutual TLS) under the fleet's own certificate
// authority or, if the settings allow it, by a shared token on loopback. On a private
// network, if the settings allow it, they trust each other without proof. Load
// returns the Credential of a process; CreateAuthority makes an Authority, which
// issues certificates.
package credential
