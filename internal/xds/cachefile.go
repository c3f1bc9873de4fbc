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

// The first line of the cache file holds cacheFileMagic, the time of writing (milliseconds since 1970) and the SHA-256
// of the bytes after the line, in hexadecimal. Those bytes are a DeltaDiscoveryResponse that versionCache.snapshot
// returned.

const (
	// cacheFileMagic is the first word of a cache file. It includes the version of the file format.
	cacheFileMagic = "yokestall-xds-1"
	// maxCacheFileBytes is the size of the largest cache file that is read.
	maxCacheFileBytes = 256 << 20
	// maxCacheFileLineBytes is the number of bytes of the first line that are parsed; further bytes are ignored.
	maxCacheFileLineBytes = 200
)

// cachedVersion is the content of a cache file.
type cachedVersion struct {
	savedAt   time.Time
	resources [ads.TypeCount]map[string]ads.Resource // by name
	versions  [ads.TypeCount]string                  // last accepted version of each type (state of the world only)
}

// writeCacheFile writes m to the cache file at path. An existing file is replaced atomically.
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
	_, err = fmt.Fprintf(f, "%s %d %s\n", cacheFileMagic, time.Now().UnixMilli(), hex.EncodeToString(sum[:]))
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

// readCacheFile returns the content of the cache file at path, or nil if the file does not exist.
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
		return nil, fmt.Errorf("cache file is larger than the limit of %d bytes", maxCacheFileBytes)
	}
	return parseCacheFile(text)
}

// parseCacheFile parses the content of a cache file. It returns an error if the content is truncated or damaged.
func parseCacheFile(text []byte) (*cachedVersion, error) {
	line, body, _ := bytes.Cut(text, []byte("\n"))
	line = line[:min(len(line), maxCacheFileLineBytes)]
	var magic, sum string
	var savedAtMs int64
	n, err := fmt.Sscanf(string(line), "%s %d %s", &magic, &savedAtMs, &sum)
	if n != 3 || err != nil || magic != cacheFileMagic {
		return nil, errors.New("line 1: not the first line of a cache file in a supported format")
	}
	if actual := sha256.Sum256(body); hex.EncodeToString(actual[:]) != sum {
		return nil, errors.New("cache file truncated or damaged: its content does not match the SHA-256 in line 1")
	}
	var m discoveryv3.DeltaDiscoveryResponse
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, fmt.Errorf("parse the cached DeltaDiscoveryResponse: %w", err)
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

// add adds an entry of the cache file: a resource, or the version of a type if r has the type's URL as its name and no
// body. Entries of unknown types are ignored.
func (v *cachedVersion) add(r *discoveryv3.Resource) {
	if t, ok := ads.TypeByURL(r.GetName()); ok && r.GetResource() == nil {
		v.versions[t] = r.GetVersion()
	} else if t, ok := ads.TypeByURL(r.GetResource().GetTypeUrl()); ok {
		v.resources[t][r.GetName()] = ads.Resource{Name: r.GetName(), Version: r.GetVersion(), Body: r.GetResource()}
	}
}
