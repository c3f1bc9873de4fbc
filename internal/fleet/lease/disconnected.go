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
	Refuse    DisconnectedAction = iota // refuse every request that the rule affects
	Cautious                            // do only what no later version could contradict, and refuse the rest
	ServeLast                           // go on as the last known version says, which a later version may contradict
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

// DisconnectedPolicy is what a node does after its lease has expired, by kind of rule.
type DisconnectedPolicy struct {
	// Effects is for the idempotency of classes. Cautious: one attempt for each request, no hedged request and no retry.
	Effects DisconnectedAction
	// Routes is for the routes of classes that are not idempotent. Cautious: their requests are refused.
	Routes DisconnectedAction
	// Servers is for the lists of endpoints. Cautious: only idempotent requests are served, and none by endpoints that
	// may still be warming up.
	Servers DisconnectedAction
	// MaxDuration is how long the node serves by this policy, counted from when the policy is applied; 0: without limit.
	MaxDuration time.Duration
}
