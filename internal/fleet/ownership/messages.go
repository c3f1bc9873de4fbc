package ownership

import "time"

// Nonce marks a moment on an owner's clock. A message that echoes a nonce was sent after that moment.
type Nonce struct {
	Token uint64        `json:"token"`
	At    time.Duration `json:"at"` // on the owner's clock
}

// LeaseRequest is a node's request to the owner, with its demand and the share that it releases.
type LeaseRequest struct {
	Node        string  `json:"node"`
	Incarnation string  `json:"life"` // incarnation of the node's process
	Sequence    uint64  `json:"seq"`
	Demand      float64 `json:"demand"` // requests per second
	OwnShare    float64 `json:"home"`   // node's share without any lease, as a fraction of the budget
	Released    float64 `json:"pledge"` // part of OwnShare that the node releases from now on, as a fraction of the budget
	Echo        Nonce   `json:"echo"`   // nonce of the latest reply
}

// LeaseReply is the owner's reply.
type LeaseReply struct {
	Token    uint64        `json:"token"` // fencing token of the owner
	Sequence uint64        `json:"seq"`   // sequence of the request
	Nonce    Nonce         `json:"nonce"`
	Demand   float64       `json:"demand"` // demand of all nodes, in requests per second
	Granted  float64       `json:"slice"`  // fraction of the budget, in addition to the node's own share and earlier grants
	Duration time.Duration `json:"for"`    // duration of the grant, from the request on, in true time
}
