// Package discovery implements how a node follows the endpoint list of the platform's discovery service: it parses and
// validates responses, maintains the list when some entries of a response are unusable, schedules polls and hedged
// calls, and computes the delays between retries. The package performs no I/O and reads no clock: the caller passes in
// times and random numbers.
//
// The files, in the order in which a poll uses them:
//
//	polltiming.go  timing of polls, for a local agent and for a shared discovery service
//	poll.go        the calls of one poll, and when a hedged call is started
//	response.go    parsing of a response, and which of its entries are usable
//	instance.go    one instance of the list: fields, identity, state and validation
//	list.go        the list after the responses received so far
//	backoff.go     delay after a failure
//	resync.go      how often the full list may be requested where the platform charges for lists
package discovery
