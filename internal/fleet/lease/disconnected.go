package lease

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// DisconnectedAction is how a node without a lease treats one kind of rule. Such a node can't know which version other
// nodes act on.
type DisconnectedAction uint8

// The actions, the strictest first.
const (
	Refuse    DisconnectedAction = iota // refuse all requests
	Cautious                            // serve less, so contradicting a later version is less likely: see DisconnectedPolicy
	ServeLast                           // act on the last known version, which a later version may contradict
)

// disconnectedActions maps the words in configuration files to their actions.
var disconnectedActions = map[string]DisconnectedAction{"refuse": Refuse, "cautious": Cautious, "serve-last": ServeLast}

// ParseDisconnectedAction parses an action as configuration files write it. The error for another word lists the allowed
// words.
func ParseDisconnectedAction(word string) (DisconnectedAction, error) {
	if action, ok := disconnectedActions[word]; ok {
		return action, nil
	}
	return 0, fmt.Errorf("%q is none of %v", word, slices.Sorted(maps.Keys(disconnectedActions)))
}

// DisconnectedPolicy is what a node does after its lease has expired, by kind of rule. If any of the actions is Refuse,
// the node refuses all requests.
type DisconnectedPolicy struct {
	// Idempotency is the action for the idempotency of classes. Under Cautious, each request gets one attempt, without hedged
	// requests and retries.
	Idempotency DisconnectedAction
	// Routes is the action for the routes of classes that are not idempotent, or only by key. Under Cautious, the requests
	// of these classes are refused.
	Routes DisconnectedAction
	// Endpoints is the action for the endpoint lists. Under Cautious, only idempotent requests are served, and none by
	// endpoints that may still be warming up.
	Endpoints DisconnectedAction
	// MaxDuration is how long the node serves by this policy, counted from when the policy is applied; 0: without limit.
	MaxDuration time.Duration
}
