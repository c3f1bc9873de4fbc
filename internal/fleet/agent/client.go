package agent

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"

	"yokestall/internal/fleet/consensus"
)

const (
	statusTimeout      = 2 * time.Second       // timeout of a status or manifest request, and of a linearizable read
	statusPollInterval = 20 * time.Millisecond // between two requests of WaitForVersion
	// maxChangesPerVersion is the largest number of endpoint list changes in a version. The next change is merged with
	// all earlier ones into complete lists.
	maxChangesPerVersion = 64
)

// ErrNoQuorum is returned when fewer than a majority of the voters answer.
var ErrNoQuorum = errors.New("no quorum: fewer than a majority of the voters answered")

// Client is an operator's client of a fleet's voters.
type Client struct {
	voters []VoterAddress
	conns  []*Conn
}

// NewClient creates a client. Its connections are established when they are first used. A nil tlsConfig means clear
// text.
func NewClient(fleet string, voters []VoterAddress, tlsConfig *tls.Config, extraOptions ...grpc.DialOption) (*Client, error) {
	c := &Client{voters: voters}
	for _, v := range voters {
		conn, err := Dial(v, tlsConfig, fleet, extraOptions...)
		if err != nil {
			c.Close()
			return nil, err
		}
		c.conns = append(c.conns, conn)
	}
	return c, nil
}

// Close closes the client's connections.
func (c *Client) Close() {
	for _, conn := range c.conns {
		conn.Close()
	}
}

// VoterStatus is a voter's status, or the error of the request for it.
type VoterStatus struct {
	Voter  string  `json:"voter"`
	Status *Status `json:"status,omitempty"`
	Error  string  `json:"error,omitempty"`
}

// Status requests the status of all voters at the same time.
func (c *Client) Status(ctx context.Context) []VoterStatus {
	ctx, stop := context.WithTimeout(ctx, statusTimeout)
	defer stop()
	statuses := make([]VoterStatus, len(c.conns))
	forEachConn(c.conns, func(i int, conn *Conn) {
		statuses[i].Voter = c.voters[i].Name
		s, err := conn.Status(ctx)
		if statuses[i].Status = s; err != nil {
			statuses[i].Error = err.Error()
		}
	})
	return statuses
}

// forEachConn calls do for all connections at the same time and waits for all calls.
func forEachConn(conns []*Conn, do func(i int, c *Conn)) {
	var calls sync.WaitGroup
	for i, c := range conns {
		calls.Go(func() { do(i, c) })
	}
	calls.Wait()
}

// LatestStatus returns the status of the voter that has applied the most of the log. It returns ErrNoQuorum if fewer
// than a majority of the nodes answer as voters.
func (c *Client) LatestStatus(ctx context.Context) (*Status, error) {
	var latest *Status
	answers := 0
	var lastError string
	for _, a := range c.Status(ctx) {
		if a.Status == nil || !a.Status.Voter {
			// a.Error is empty if the node answered, but does not vote at present.
			lastError = fmt.Sprint(a.Voter, ": ", a.Error)
			continue
		}
		if answers++; latest == nil || a.Status.LogStatus.Index > latest.LogStatus.Index {
			latest = a.Status
		}
	}
	if answers < c.quorumSize() {
		return nil, fmt.Errorf("%w: %d of %d voters (last error: %s)", ErrNoQuorum, answers, len(c.conns), lastError)
	}
	return latest, nil
}

func (c *Client) quorumSize() int { return consensus.QuorumSize(len(c.conns)) }

// OwnershipToken asks a voter, given by its index among the client's voters, for the fencing token by which it owns a
// task at this moment. The token is 0 if the voter does not own the task.
func (c *Client) OwnershipToken(ctx context.Context, voter int, task string) (token uint64, err error) {
	reply, err := call[OwnershipQuery](ctx, c.conns[voter], methodOwnership, OwnershipQuery{Task: task})
	if err != nil {
		return 0, err
	}
	return reply.Token, nil
}

// NewID creates a random id, for example of a publish. A publish that is repeated with the same id takes effect once.
func NewID() string {
	b := make([]byte, 16)
	rand.Read(b)
	return hex.EncodeToString(b)
}
