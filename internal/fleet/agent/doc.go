// Package agent runs a node of a fleet: it drives the state machines of package consensus with RPCs, a store and
// clocks, and makes the program act on the configuration version that the node's lease permits.
//
// A version passes through these steps, from the operator's publish until the program acts on it:
//
//	Client.Publish             stores the content at a majority of the voters, and calls Publish at one of them
//	Node.servePublish          validates the version, compares it with those that nodes may act on, and proposes it
//	Node.withVoter             runs the log on each voter: processReady saves, sends and applies what raft has ready
//	Node.serveLeases           grants leases to the nodes, and reports the log's status over the same streams
//	Node.handleLeaseReply      records grants and the log's status on the node, and wakes reconcile
//	Node.fetchVersion          fetches and parses the version that the log names, or reports it as unusable
//	Node.reconcile             compares what the lease permits with what the program acts on
//	Node.applyVersions         makes the program act on the version, and confirms that with the next lease request
//	Node.MayServe              tells the program, at each decision and at each send, whether the lease is still valid
//
// If a node's lease expires, reconcile calls enterDisconnected, which applies the disconnected policy.
//
// A voter that starts must first be admitted by other voters (Node.waitForAdmission). They refuse a voter that runs on an
// older copy of its disk.
package agent
