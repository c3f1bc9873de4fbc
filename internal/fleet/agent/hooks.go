package agent

import (
	"context"
	"net"

	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"

	"yokestall/internal/fleet/consensus"
)

// Hooks let a rig measure a node's control traffic and fail its links. All of them are nil in a program that serves.
type Hooks struct {
	// Dial makes a connection to a voter in place of the network.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Listen wraps the listener on which this node serves the others.
	Listen func(l net.Listener) net.Listener
	// Stats handles the events of each RPC and message, of both sides.
	Stats stats.Handler
	// Applied is called with what the program acts on from now on, and whether the policy for a node without a lease
	// restricts it. It must not block.
	Applied func(active consensus.ActiveVersions, disconnected bool)
}

func (h *Hooks) dialOptions() (options []grpc.DialOption) {
	if h.Dial != nil {
		options = append(options, grpc.WithContextDialer(h.Dial))
	}
	if h.Stats != nil {
		options = append(options, grpc.WithStatsHandler(h.Stats))
	}
	return options
}

func (h *Hooks) serverOptions() []grpc.ServerOption {
	if h.Stats == nil {
		return nil
	}
	return []grpc.ServerOption{grpc.StatsHandler(h.Stats)}
}

func (h *Hooks) listener(l net.Listener) net.Listener {
	if h.Listen == nil {
		return l
	}
	return h.Listen(l)
}

func (h *Hooks) notifyApplied(active consensus.ActiveVersions, disconnected bool) {
	if h.Applied != nil {
		h.Applied(active, disconnected)
	}
}
