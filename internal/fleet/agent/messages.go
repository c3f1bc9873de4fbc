package agent

import (
	"yokestall/internal/fleet/consensus"
)

// DescribeRequest asks for a version's manifest.
type DescribeRequest struct {
	Number       uint64 `json:"number"`
	OwnPartsOnly bool   `json:"short"` // the reply leaves out the parts of the base that the version extends
}

// FetchRequest asks for a chunk of content.
type FetchRequest struct {
	Hash   string `json:"hash"`
	Offset int    `json:"from"` // bytes
}

// LeaseReply is a voter's reply to a lease request (Grant or Error), or an update of the log's status, which is sent
// without a request.
type LeaseReply struct {
	Grant     *consensus.Grant     `json:"grant,omitempty"`
	LogStatus *consensus.LogStatus `json:"news,omitempty"`
	Error     string               `json:"error,omitempty"`
}

// PublishRequest asks a voter to publish a version whose content is stored by a majority of the voters.
type PublishRequest struct {
	ID    string           `json:"id"`
	Base  uint64           `json:"base"` // number of the version that this one was made from; 0: none
	Parts []consensus.Part `json:"parts"`
	// Extends means that the version consists of the base's parts, followed by Parts.
	Extends bool `json:"extends,omitempty"`
}

// PublishReply is the result of a PublishRequest.
type PublishReply struct {
	Number        uint64   `json:"number"` // 0: the version was not published
	Contradicts   bool     `json:"contradicts"`
	Error         string   `json:"error,omitempty"`
	Retry         bool     `json:"again"` // the same request may succeed later
	ActiveVersion uint64   `json:"present"`
	Differences   []string `json:"differs,omitempty"` // how a version with a stale base differs from the active version
}

// ContentHashes lists content by hash. In a request, it asks which of the content a node does not have; the reply lists
// the missing content.
type ContentHashes struct {
	Hashes []string `json:"hashes"`
}

// Status is a node's view of the fleet.
type Status struct {
	Node         string                   `json:"node"`
	Fleet        string                   `json:"fleet"`
	Voter        bool                     `json:"voter"`
	Leader       string                   `json:"leader,omitempty"` // "": the node knows no leader
	Term         uint64                   `json:"term,omitempty"`
	LogStatus    consensus.LogStatus      `json:"facts"`
	Applied      consensus.ActiveVersions `json:"acts"`            // versions that the node acts on
	Disconnected bool                     `json:"alone"`           // the disconnected policy restricts the node
	LeaseLeftMs  int64                    `json:"left_ms"`         // milliseconds left of the node's own lease
	WaitingFor   []string                 `json:"waits,omitempty"` // nodes that keep this voter from acknowledging the epoch
	LeaseHolders []string                 `json:"nodes,omitempty"` // nodes that hold a lease of this voter
	History      []consensus.Manifest     `json:"history,omitempty"`
	VotingError  string                   `json:"store,omitempty"` // why the node stopped voting; "": it has not
	Tasks        []TaskStatus             `json:"owners,omitempty"`
}
