// Package app assembles the product program from its parts: the downstream servers, an engine for each tier of each
// cluster, the configuration sources and the node's part in the fleet.
//
// # Files
//
//   - app.go: the lifecycle of the program; state.go: what requests read of a configuration version
//   - source.go, agreedsource.go: where versions come from; apply.go: how one is put in force
//   - listeners.go, acceptor.go, server.go: sockets, and the server of each listener; extproc.go: external processing
//   - router.go, sendpermission.go: from a request to its cluster, and whether its attempts may still be sent
//   - managedcluster.go, clusterrequest.go, tiers.go, tierupdate.go: a cluster, a request to it, its tiers
//   - idle.go, snapshots.go: clusters without requests, and what their engines learnt
//   - sender.go, streams.go, tenants.go: sending an attempt, limits of streamed responses, tenants and their quotas
//
// # The way of a configuration change
//
// A file watcher calls Source.SetFiles, a control plane Source.Deliver; a version that the fleet agreed on arrives at
// AgreedSource.Apply. Each ends in App.ApplyRejecting: it builds the next state, starts the clusters that are new or
// whose settings changed, has every cluster update its endpoints, replaces the state, and retires the clusters that
// the state no longer has. A failure before the first update leaves everything as it was. A change of endpoints alone
// takes the short way through App.ApplyClusters. Listeners.Apply follows with the listeners.
//
// # The way of a request
//
// A server of ServeListener asks App.Route for the Destination: the route, its class, its limits and its cluster.
// The cluster is wrapped for deduplication by key (dedupRouter), and for the check of the lease before each send
// (leaseCheckedCluster). managedCluster.Do applies the cluster's limits, activates it if it is idle, picks a tier and
// hands the request to that tier's engine. The engine's policy decides, and sender.Exchange sends each attempt over the
// upstream pool. If the cluster is replaced meanwhile, managedCluster.Do migrates the request to the successor.
//
// # Goroutines
//
//   - New starts App.watchIdle, a tier's start two goroutines for its pool and its engine's end, and
//     managedCluster.retire one that awaits its engines. They belong to App.background; App.Close ends and awaits them.
//   - An acceptor and the server of a listener belong to Listeners.background; Listeners.Close ends and awaits them.
//   - ServeListener awaits the goroutine of its server. streams.expire starts one for each abort of a stream, since an
//     abort may wait for the stream's own locks; it ends with the abort.
//
// # Locks
//
//   - App.mu admits one change of configuration at a time. Requests read App.state without a lock.
//   - managedCluster.mu guards its tiers, its last update and its snapshots, and changes of active.
//   - Source.mu and AgreedSource.mu guard the parts of a version, and the order in which versions are applied.
//   - Listeners.mu guards the open listeners; sender.mu the addresses; streams.mu the table of streams and its timer.
//
// They are taken in this order: Source.mu or AgreedSource.mu, App.mu, managedCluster.mu, sender.mu or streams.mu.
package app
