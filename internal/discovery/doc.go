// Package discovery holds the rules by which a node follows the endpoint list of the platform's discovery service:
// which lines of a response are usable, what the list is when some are not, how polls are timed and hedged, and how
// retries are spaced. It performs no I/O and reads no clock: the caller passes in the times and random draws.
//
// The files, in the order in which a poll uses them:
//
//	polltiming.go  the timing of polls, for a local agent and for a shared discovery service
//	poll.go        the calls of one poll, and when an overdue call is hedged
//	response.go    parsing a response, and the rule which of its lines are usable
//	instance.go    one instance of the list: its fields, identity, state and validation
//	list.go        the list as the responses so far leave it
//	backoff.go     the delay after a failure
//	resync.go      how often the full list may be requested where lists have a price
package discovery
