package ownership

import "time"

// Nonce marks a moment on an owner's clock. A message that echoes it was sent later than that.
type Nonce struct {
	Token uint64        `json:"token"`
	At    time.Duration `json:"at"` // on the owner's clock
}

// LeaseRequest is what a node sends to the owner: its demand, and what it releases.
type LeaseRequest struct {
	Node        string  `json:"node"`
	Incarnation string  `json:"life"` // of the node's process
	Sequence    uint64  `json:"seq"`
	Demand      float64 `json:"demand"` // requests per second
	OwnShare    float64 `json:"home"`   // fraction of the budget, without any lease
	Released    float64 `json:"pledge"` // part of OwnShare that the node does without from now on
	Echo        Nonce   `json:"echo"`   // of the latest reply
}

// LeaseReply is the owner's reply.
type LeaseReply struct {
	Token    uint64        `json:"token"` // fencing token of the owner
	Sequence uint64        `json:"seq"`   // of the request
	Nonce    Nonce         `json:"nonce"`
	Demand   float64       `json:"demand"` // of all nodes, in requests per second
	Granted  float64       `json:"slice"`  // fraction of the budget, in addition to the node's own share
	Duration time.Duration `json:"for"`    // of the grant, from the request on, in true time
}
