package xds

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"

	"yokestall/internal/xds/ads"
)

// The cache file has a line with cacheFileMark, the time of writing (ms since 1970) and the SHA-256 of the rest, and
// then a DeltaDiscoveryResponse as versionCache.snapshot makes it.

const (
	// cacheFileMark is the first word of the file, with the version of its form.
	cacheFileMark = "yokestall-xds-1"
	// maxCacheFileBytes bounds the file that is read.
	maxCacheFileBytes = 256 << 20
	// maxCacheFileLineBytes bounds the part of the first line that is read.
	maxCacheFileLineBytes = 200
)

// cachedVersion is the content of a cache file.
type cachedVersion struct {
	savedAt   time.Time
	resources [ads.TypeCount]map[string]ads.Resource // by name
	versions  [ads.TypeCount]string                  // of the types (state of the world)
}

// writeCacheFile replaces the file atomically.
func writeCacheFile(path string, m *discoveryv3.DeltaDiscoveryResponse) error {
	body, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	sum := sha256.Sum256(body)
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".new*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = fmt.Fprintf(f, "%s %d %s\n", cacheFileMark, time.Now().UnixMilli(), hex.EncodeToString(sum[:]))
	if err == nil {
		_, err = f.Write(body)
	}
	if err == nil {
		err = f.Sync()
	}
	if err := errors.Join(err, f.Close()); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

// readCacheFile returns the content of the file; nil if there is none.
func readCacheFile(path string) (*cachedVersion, error) {
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxCacheFileBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxCacheFileBytes {
		return nil, fmt.Errorf("over %d bytes", maxCacheFileBytes)
	}
	return parseCacheFile(text)
}

// parseCacheFile parses the content of a file. One that is incomplete or damaged is an error.
func parseCacheFile(text []byte) (*cachedVersion, error) {
	line, body, _ := bytes.Cut(text, []byte("\n"))
	line = line[:min(len(line), maxCacheFileLineBytes)]
	var mark, sum string
	var savedAtMs int64
	n, err := fmt.Sscanf(string(line), "%s %d %s", &mark, &savedAtMs, &sum)
	if n != 3 || err != nil || mark != cacheFileMark {
		return nil, errors.New("line 1: is no kept version")
	}
	if actual := sha256.Sum256(body); hex.EncodeToString(actual[:]) != sum {
		return nil, errors.New("is not whole: its bytes are not those that were written")
	}
	var m discoveryv3.DeltaDiscoveryResponse
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, fmt.Errorf("can't be read: %w", err)
	}
	out := &cachedVersion{savedAt: time.UnixMilli(savedAtMs)}
	for t := range out.resources {
		out.resources[t] = map[string]ads.Resource{}
	}
	for _, r := range m.GetResources() {
		out.add(r)
	}
	return out, nil
}

// add adds a resource of the file, or the version of a type. Those of unknown types are ignored.
func (v *cachedVersion) add(r *discoveryv3.Resource) {
	if t, ok := ads.TypeByURL(r.GetName()); ok && r.GetResource() == nil {
		v.versions[t] = r.GetVersion()
	} else if t, ok := ads.TypeByURL(r.GetResource().GetTypeUrl()); ok {
		v.resources[t][r.GetName()] = ads.Resource{Name: r.GetName(), Version: r.GetVersion(), Body: r.GetResource()}
	}
}
