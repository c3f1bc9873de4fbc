package sockets

import (
	"fmt"
	"strings"

	"yokestall/internal/fleetsim"
	"yokestall/internal/lab"
	"yokestall/policy"
)

// effects maps idempotency to the values of the key effect in the program's file.
var effects = map[policy.Idempotency]string{
	policy.Idempotent:      "safe",
	policy.IdempotentByKey: "keyed",
	policy.NotIdempotent:   "unsafe",
}

// programFile returns the text of the program's configuration file for an experiment. The file has a listener at an
// address, and a class and a route for each class of the experiment, which are named by the class's index.
func programFile(e *lab.Experiment, address string, node int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[listen]\naddress = %q\nconnections = %d\nsilent = 1024\n", address, 2*maxOpenRequests)
	b.WriteString("[upstream]\nconnections = 8192\nconnect_timeout = \"1s\"\n")
	b.WriteString("[files]\nclusters = \"clusters\"\nmax_removed_share = 1\n")
	writeLimits(&b, &e.Day.Settings.Limits)
	fmt.Fprintf(&b, "[fleet]\nnodes = %d\nnode = %d\n", e.Day.Nodes, node)
	writeServerRules(&b, &e.Day.Settings.Rules)
	for i := range e.Day.Classes {
		writeClass(&b, i, &e.Day.Classes[i])
	}
	b.WriteString("[[host]]\n")
	for i := range e.Day.Classes {
		fmt.Fprintf(&b, "[[host.route]]\nprefix = \"/c%d\"\nclass = \"c%d\"\ncluster = %q\n", i, i, clusterName)
	}
	return b.String()
}

func writeLimits(b *strings.Builder, limits *policy.Limits) {
	fmt.Fprintf(b, "[limits]\nattempts = %d\n", limits.MaxAttempts)
	fmt.Fprintf(b, "second_copies = %v\n", limits.AllowHedging)
	fmt.Fprintf(b, "cancel = %v\n", limits.AllowCancel)
	fmt.Fprintf(b, "max_retry_after = %q\n", limits.MaxRetryAfter)
}

// writeServerRules writes the keys of slow start and overload into the table that is open, which is [fleet].
func writeServerRules(b *strings.Builder, rules *policy.Rules) {
	fmt.Fprintf(b, "cold_from = %v\ncold_for = %q\n", rules.SlowStartMinCapacity, rules.SlowStartWindow)
	fmt.Fprintf(b, "fall_multiple = %v\nfall_for = %q\n", rules.OverloadMultiple, rules.OverloadDuration)
}

func writeClass(b *strings.Builder, index int, c *fleetsim.Class) {
	fmt.Fprintf(b, "[[class]]\nname = \"c%d\"\neffect = %q\n", index, effects[c.Idempotency])
	fmt.Fprintf(b, "deadline = %q\naim = %q\n", c.Deadline, c.LatencyObjective)
	fmt.Fprintf(b, "worth = %v\nlate_worth = %v\n", c.PriorityWeight, c.LateWeight)
	if c.Idempotency == policy.IdempotentByKey {
		fmt.Fprintf(b, "scope = \"all\"\nwindow = %q\n", c.DedupWindow)
	}
}
