// Package controller speaks to the leading controller: it asks where requests
// go, learns the configuration and the upstreams, and has confirmed that both
// are current. While there is no leader the gateway decides by itself.
package controller
