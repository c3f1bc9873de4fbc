package extproc

import (
	"context"

	"google.golang.org/grpc/stats"

	"yokestall/internal/ctxtime"
	"yokestall/internal/fairshare"
)

// accountKey is the key under which a connection's context holds its fairshare.Account.
type accountKey struct{}

// connectionShares gives each connection of a caller an account.
type connectionShares struct{ server *Server }

var _ stats.Handler = connectionShares{}

// TagConn implements stats.Handler.
func (c connectionShares) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return context.WithValue(ctx, accountKey{}, &fairshare.Account{})
}

// HandleConn implements stats.Handler.
func (c connectionShares) HandleConn(ctx context.Context, s stats.ConnStats) {
	if _, ended := s.(*stats.ConnEnd); ended {
		c.server.shares.Close(ctx.Value(accountKey{}).(*fairshare.Account))
	}
}

// TagRPC implements stats.Handler.
func (c connectionShares) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return ctx
}

// HandleRPC implements stats.Handler.
func (c connectionShares) HandleRPC(context.Context, stats.RPCStats) {}

// awaitTurn charges a stream to its connection. If the connection has used up its share, awaitTurn waits for the connection's
// turn, so that the stream keeps its place among the connection's streams meanwhile.
func (s *Server) awaitTurn(ctx context.Context, cost fairshare.Cost) {
	account, ok := ctx.Value(accountKey{}).(*fairshare.Account)
	if !ok {
		return
	}
	wait, entered := s.shares.Charge(s.Clock.Now(), account, cost)
	if entered {
		s.Log.Info("caller awaits its turn", "waits", s.shares.Stats().Waits)
	}
	if wait > 0 {
		ctxtime.Sleep(ctx, wait)
	}
}

// Shares returns the counts of the shares of the callers' connections.
func (s *Server) Shares() fairshare.Stats { return s.shares.Stats() }
