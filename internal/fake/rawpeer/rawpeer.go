// Package rawpeer speaks HTTP by hand where libraries would refuse what a test or a rig needs: clients that send what
// they must not, and servers that stop in the middle of an answer.
//
//   - client.go: HTTP/2 clients
//   - server.go: servers; tap.go: a record of what they receive
package rawpeer

import "time"

// connTimeout ends a connection whose other side does nothing.
const connTimeout = 2 * time.Minute
