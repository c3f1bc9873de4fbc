// Package store is the durable state of a node of a fleet: a voter's raft log, the content of versions, the last
// version that the node acted on, and the starts of voters. It is one bbolt file, whose transactions are atomic. Values
// have a checksum of their own, since the database has none for its pages; content is named by its hash.
//
// The way of a voter's work: Store.Save makes its entries and snapshot durable before any message is sent,
// Store.CompactTo replaces the start of the log by a snapshot, and Store.Voter reads all of it at the next start.
// Content is stored with Store.Put before a version that names it is proposed, and deleted by Store.Sweep once no
// version names it.
package store
