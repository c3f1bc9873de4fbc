// Package store holds the durable state of a node of a fleet: a voter's Raft log, the content of versions, the last
// version that the node acted on, and the starts of voters. A store is one bbolt file, whose transactions are atomic.
// Since bbolt has no checksums for its pages, each value has a checksum of its own, and the key of content is the hash
// of the content.
//
// A voter makes its hard state, entries and snapshots durable with Store.Save before it sends any message, replaces the
// start of its log by a snapshot with Store.CompactTo, and reads its state with Store.Voter at its next start. Content
// is stored with Store.Put before a version that names it is proposed, and deleted by Store.Sweep once no version names
// it.
package store
