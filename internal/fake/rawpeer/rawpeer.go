// Package rawpeer has HTTP peers for tests and rigs that violate the protocol in ways that HTTP libraries prevent:
// clients that send invalid frames, and servers that close the connection in the middle of a response.
//
//   - client.go: HTTP/2 clients
//   - server.go, tap.go: servers, and a record of the bytes that they receive
package rawpeer

import "time"

// connTimeout is the deadline of a connection, counted from its start, so that an inactive peer does not block a test.
const connTimeout = 2 * time.Minute
