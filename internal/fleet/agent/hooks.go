package agent

import (
	"context"
	"net"

	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"

	"yokestall/internal/fleet/consensus"
)

// Hooks let a test rig measure a node's traffic with other nodes and fail its links. All hooks are nil in production.
type Hooks struct {
	// Dial replaces the network's dialer for connections to the voters.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Listen wraps the listener on which this node serves the others.
	Listen func(l net.Listener) net.Listener
	// Stats receives the gRPC events of each RPC and message, on this node's client connections and its server.
	Stats stats.Handler
	// Applied is called with the versions that the program acts on from now on, and whether the disconnected policy
	// restricts them. It must not block.
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
