// Package agent runs a node of a fleet: it drives the state machines of package consensus with RPCs, a store and
// clocks, and has the program apply the configuration version that the node's lease permits.
//
// The way of a version, from an operator to what the program acts on:
//
//	Client.Publish             stores the content at a majority of the voters, and calls Publish at one of them
//	Node.servePublish          validates the version, compares it with those that nodes may act on, and proposes it
//	Node.withVoter             each voter runs the log: processReady saves, sends and applies what raft has ready
//	Node.serveLeases           voters grant leases, and report the log's status over the same streams
//	Node.handleLeaseReply      a node records both, and wakes reconcile
//	Node.fetchVersion          fetches and parses the version that the log names, or reports it as unusable
//	Node.reconcile             compares what the lease permits with what the program acts on
//	Node.applyVersions         makes the program act on it, and confirms that with the next lease request
//	Node.MayServe              is checked by the program at each decision and at each send
//
// A node whose lease expires goes from reconcile to enterDisconnected, which applies the disconnected policy.
//
// A voter that starts is admitted by the others first (Node.admit), which excludes one with an older copy of its disk.
package agent
