package adminstate

import "fmt"

// Operation is the kind of a change.
type Operation uint8

// The operations. Each is idempotent.
const (
	Detach   Operation = 1 + iota // take an instance out of service
	Attach                        // return an instance to service
	LameDuck                      // enter lame duck mode, in which the node's clients leave
	Rejoin                        // leave lame duck mode
)

// String returns the name that the operation has in operators' commands and in the administrative record.
func (o Operation) String() string {
	switch o {
	case Detach:
		return "DETACH"
	case Attach:
		return "ATTACH"
	case LameDuck:
		return "LAMEDUCK"
	case Rejoin:
		return "REJOIN"
	}
	return fmt.Sprintf("Op(%d)", uint8(o))
}

// TargetsInstance reports whether a change with this operation names an instance.
func (o Operation) TargetsInstance() bool { return o == Detach || o == Attach }

// Change is one change of the administrative state that an operator requested.
type Change struct {
	Operation     Operation
	InstanceID    string // instance of a Detach or Attach; "" for other operations
	RequestedAtMs int64  // when the change was requested, Unix milliseconds
}
