package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"yokestall/internal/config"
	"yokestall/internal/fleet/consensus"
)

// fetchFiles returns the content of parts.
func (n *Node) fetchFiles(ctx context.Context, parts []consensus.Part) ([]config.File, error) {
	var list []config.File
	for _, p := range parts {
		data, err := n.fetchContent(ctx, p)
		if err != nil {
			return nil, err
		}
		list = append(list, config.File{Name: p.Name, Text: data})
	}
	return list, nil
}

// fetchContent returns a part's content from the store. If the content is not in the store or can't be read, it is
// fetched from another voter and stored.
func (n *Node) fetchContent(ctx context.Context, p consensus.Part) ([]byte, error) {
	if p.SizeBytes > config.MaxFileBytes {
		return nil, &invalidVersionError{
			fmt.Errorf("%s: the file has %d bytes; at most %d are allowed", p.Name, p.SizeBytes, config.MaxFileBytes)}
	}
	data, err := n.store.Get(p.Hash)
	if data != nil {
		return data, nil
	}
	noAnswer := err // if the read of the store failed, the content is requested from the voters all the same
	if noAnswer == nil {
		noAnswer = fmt.Errorf("%s: content not in the store, and no other voter to fetch it from", p.Name)
	}
	request := func(ctx context.Context, c *Conn) ([]byte, error) { return c.Fetch(ctx, p) }
	data, err = firstAnswer(ctx, maps.Values(n.conns), contentTimeout, noAnswer, request)
	if err != nil {
		return nil, err
	}
	if err := n.storeContent(data); err != nil {
		n.Log.Warn("content not stored", "file", p.Name, "err", err)
	}
	return data, nil
}

// storeContent stores content. Content that no version refers to yet is retained for at least
// recentContentRetention.
func (n *Node) storeContent(data []byte) error {
	n.mu.Lock()
	n.recentContent[hash(data)] = time.Now()
	n.mu.Unlock()
	return n.store.Put(data)
}

// rawBytes is a reply that is sent as it is instead of encoded as JSON.
type rawBytes []byte

// serveFetch returns a chunk of at most chunkSize bytes of content from an offset on.
func (n *Node) serveFetch(_ context.Context, in *FetchRequest) (*rawBytes, error) {
	data, err := n.store.Get(in.Hash)
	if err != nil {
		return nil, err
	}
	if data == nil || in.Offset < 0 || in.Offset > len(data) {
		return nil, status.Error(codes.NotFound,
			"this node does not have the requested content, or the offset is outside the content")
	}
	out := rawBytes(data[in.Offset:min(len(data), in.Offset+chunkSize)])
	return &out, nil
}

// serveMissing returns those of the hashes whose content is not in this node's store.
func (n *Node) serveMissing(_ context.Context, in *ContentHashes) (*ContentHashes, error) {
	if len(in.Hashes) > consensus.MaxPartsPerVersion {
		return nil, status.Errorf(codes.InvalidArgument,
			"the request has %d content hashes; at most %d are allowed", len(in.Hashes), consensus.MaxPartsPerVersion)
	}
	missing := &ContentHashes{}
	for _, h := range in.Hashes {
		data, err := n.store.Get(h)
		if err != nil {
			return nil, err
		}
		if data == nil {
			missing.Hashes = append(missing.Hashes, h)
		}
	}
	return missing, nil
}

// servePut receives and stores one upload of content. It waits while maxUploads other uploads are in progress.
func (n *Node) servePut(s grpc.ServerStream) error {
	select {
	case n.uploads <- struct{}{}:
		defer func() { <-n.uploads }()
	case <-s.Context().Done():
		return s.Context().Err()
	}
	data, err := receiveContent(s)
	if err != nil {
		return err
	}
	if err := n.storeContent(data); err != nil {
		return status.Error(codes.ResourceExhausted, err.Error())
	}
	return s.SendMsg(&wrapperspb.BytesValue{})
}

// receiveContent receives the chunks of an upload until the client has sent them all.
func receiveContent(s grpc.ServerStream) ([]byte, error) {
	var data []byte
	for {
		in := &wrapperspb.BytesValue{}
		err := s.RecvMsg(in)
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
		if len(data)+len(in.GetValue()) > config.MaxFileBytes {
			return nil, status.Errorf(codes.InvalidArgument,
				"the uploaded file exceeds the limit of %d bytes", config.MaxFileBytes)
		}
		data = append(data, in.GetValue()...)
	}
}
