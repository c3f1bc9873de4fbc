package agent

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"iter"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"yokestall/internal/fleet/consensus"
)

const (
	minDialBackoff        = 50 * time.Millisecond
	maxDialBackoff        = 500 * time.Millisecond // short, so that a link is used again soon after it is restored
	dialBackoffMultiplier = 1.6
	dialBackoffJitter     = 0.2
	dialTimeout           = time.Second
)

// Dial returns a connection to a voter. The connection is established when it is first used, and re-established when it
// breaks. A nil tlsConfig means clear text.
func Dial(v VoterAddress, tlsConfig *tls.Config, fleet string, extraOptions ...grpc.DialOption) (*Conn, error) {
	creds := insecure.NewCredentials()
	if tlsConfig != nil {
		creds = credentials.NewTLS(tlsConfig)
	}
	options := append([]grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay: minDialBackoff, MaxDelay: maxDialBackoff,
				Multiplier: dialBackoffMultiplier, Jitter: dialBackoffJitter,
			},
			MinConnectTimeout: dialTimeout,
		}),
	}, extraOptions...)
	c, err := grpc.NewClient("passthrough:///"+v.Address, options...)
	if err != nil {
		return nil, err
	}
	return &Conn{c, fleet}, nil
}

// Conn is a connection to a node. It is safe for concurrent use.
type Conn struct {
	*grpc.ClientConn
	fleet string // name of the fleet
}

// context adds the name of the fleet to a call's metadata; the node rejects calls for another fleet.
func (c *Conn) context(ctx context.Context) context.Context {
	return metadata.AppendToOutgoingContext(ctx, fleetMetadataKey, c.fleet)
}

// call calls a unary method whose request and reply are encoded as JSON.
func call[Out any](ctx context.Context, c *Conn, name string, in any) (*Out, error) {
	raw, err := encodeMessage(in)
	if err != nil {
		return nil, err
	}
	reply := &wrapperspb.BytesValue{}
	if err := c.Invoke(c.context(ctx), methodPath(name), raw, reply); err != nil {
		return nil, err
	}
	out := new(Out)
	return out, json.Unmarshal(reply.GetValue(), out)
}

// firstAnswer calls request for one connection after the other, each with the timeout, and returns the first answer
// without an error. If all calls fail, it returns the last error; if there are no connections, it returns noAnswer.
func firstAnswer[T any](
	ctx context.Context, conns iter.Seq[*Conn], timeout time.Duration, noAnswer error,
	request func(context.Context, *Conn) (T, error),
) (T, error) {
	lastErr := noAnswer
	for c := range conns {
		callCtx, stop := context.WithTimeout(ctx, timeout)
		answer, err := request(callCtx, c)
		stop()
		if err == nil {
			return answer, nil
		}
		lastErr = err
	}
	var zero T
	return zero, lastErr
}

// Describe returns a version's manifest, from the history of the node, which must be a voter.
func (c *Conn) Describe(ctx context.Context, number uint64) (*consensus.Manifest, error) {
	return call[consensus.Manifest](ctx, c, methodDescribe, DescribeRequest{Number: number})
}

// Status returns the node's view of the fleet.
func (c *Conn) Status(ctx context.Context) (*Status, error) {
	return call[Status](ctx, c, methodStatus, struct{}{})
}

// Publish asks the node, which must be a voter, to publish a version whose content is stored already.
func (c *Conn) Publish(ctx context.Context, p PublishRequest) (*PublishReply, error) {
	return call[PublishReply](ctx, c, methodPublish, p)
}

// Fetch returns a part's content, in chunks from the node, after verifying its hash.
func (c *Conn) Fetch(ctx context.Context, part consensus.Part) ([]byte, error) {
	var data []byte
	for len(data) < part.SizeBytes {
		out := &wrapperspb.BytesValue{}
		raw, err := encodeMessage(FetchRequest{part.Hash, len(data)})
		if err != nil {
			return nil, err
		}
		if err := c.Invoke(c.context(ctx), methodPath(methodFetch), raw, out); err != nil {
			return nil, err
		}
		if len(out.GetValue()) == 0 {
			return nil, fmt.Errorf("%s: content truncated: got %d of %d bytes", part.Name, len(data), part.SizeBytes)
		}
		data = append(data, out.GetValue()...)
	}
	if hash(data) != part.Hash {
		return nil, fmt.Errorf("%s: the received content does not match the part's hash", part.Name)
	}
	return data, nil
}

// Put uploads those entries of content, which is keyed by hash, that the node does not have. If Put returns nil, the
// node has stored all of the content.
func (c *Conn) Put(ctx context.Context, content map[string][]byte) error {
	var all ContentHashes
	for h := range content {
		all.Hashes = append(all.Hashes, h)
	}
	missing, err := call[ContentHashes](ctx, c, methodMissing, all)
	if err != nil {
		return err
	}
	for _, h := range missing.Hashes {
		data, ok := content[h]
		if !ok {
			return errors.New("the node requested content by a hash that was not offered to it")
		}
		if err := c.upload(ctx, data); err != nil {
			return err
		}
	}
	return nil
}

// upload sends one file's content in chunks and waits until the node has stored it.
func (c *Conn) upload(ctx context.Context, data []byte) error {
	s, err := c.NewStream(c.context(ctx), &grpc.StreamDesc{ClientStreams: true}, methodPath(streamPut))
	if err != nil {
		return err
	}
	for offset := 0; offset < len(data) || offset == 0; offset += chunkSize {
		if err := s.SendMsg(wrapperspb.Bytes(data[offset:min(len(data), offset+chunkSize)])); err != nil {
			break // RecvMsg returns the reason
		}
	}
	if err := s.CloseSend(); err != nil {
		return err
	}
	return s.RecvMsg(&wrapperspb.BytesValue{})
}
