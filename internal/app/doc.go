// Package app assembles the load balancer from its parts: the downstream servers, an engine for each tier of each
// cluster, and the sources of configuration versions (files, a control plane, the fleet).
//
// # Files
//
//   - app.go: the lifecycle of the program; state.go: the configuration in force, as requests read it
//   - source.go, agreedsource.go: sources of configuration versions; apply.go: putting a version in force
//   - listeners.go, acceptor.go, server.go: sockets, and the server of each listener; extproc.go: external processing
//   - router.go, sendpermission.go: routing a request to its cluster, and the check before each of its sends
//   - managedcluster.go, clusterrequest.go, tiers.go, tierupdate.go: a cluster, a request to it, its tiers
//   - idle.go, snapshots.go: deactivation of idle clusters, and snapshots of their engines
//   - sender.go, streams.go, tenants.go: sending an attempt, timeouts of streamed responses, tenants and their quotas
//
// # How a configuration change is applied
//
// A file watcher calls Source.SetFiles, a control plane client calls Source.Deliver, and the fleet calls
// AgreedSource.Apply with an agreed version. All three lead to App.ApplyRejecting, which builds the next state, creates
// the clusters that are new or whose settings changed, updates the endpoints of every cluster, replaces the state, and
// retires the clusters that the new state does not have. A failure before the first update leaves everything unchanged.
// A change of endpoints alone is applied by App.ApplyClusters, without building a new state. Listeners.Apply is called
// afterwards with the listeners of the version.
//
// # How a request is handled
//
// The server of a listener (ServeListener) calls App.Route for the request's Destination: its class, its limits and its
// cluster. The cluster is wrapped for deduplication by key (dedupRouter), and for the check of the lease before each
// send (leaseCheckedCluster). managedCluster.Do activates the cluster if it is idle, applies the cluster's limits, picks
// a tier and passes the request to that tier's engine. The engine's policy decides on the request, and sender.Exchange
// sends each attempt over the upstream pool. If the cluster is replaced meanwhile, managedCluster.Do migrates the
// request to the successor.
//
// # Goroutines
//
//   - New starts one goroutine for App.watchIdle. The start of a tier starts two: one evicts idle connections of the
//     pool, the other cleans up after the engine's end. managedCluster.retire starts one that waits for the cluster's
//     engines. All belong to App.background; App.Close stops them and waits for them.
//   - An acceptor and the server of a listener belong to Listeners.background; Listeners.Close stops them and waits for
//     them.
//   - ServeListener waits for the goroutine of its server. streams.expire starts a goroutine for each stream that it
//     aborts, since the abort may wait for the stream's own locks; the goroutine ends with the abort.
//
// # Locks
//
//   - App.mu serializes changes of the configuration. Requests read App.state without a lock.
//   - managedCluster.mu guards the cluster's tiers, last update and snapshots, and changes of its field active.
//   - Source.mu and AgreedSource.mu guard the parts of a version, and the order in which versions are applied.
//   - Listeners.mu guards the open listeners, sender.mu the addresses, streams.mu the table of streams and its timer.
//
// Locks are taken in this order: Source.mu or AgreedSource.mu, App.mu, managedCluster.mu, sender.mu or streams.mu.
package app
