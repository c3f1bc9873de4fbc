package xds

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"

	"yokestall/internal/xds/ads"
)

// keeper holds the last good form of each resource in a file: a line that says how old it
// is and what its bytes hash to, and a DeltaDiscoveryResponse with resources of all types.
// The version of a whole type (state of the world) goes as a resource with no body.
type keeper struct {
	path string
	log  *slog.Logger
	work chan *discoveryv3.DeltaDiscoveryResponse
	done sync.WaitGroup

	resources [ads.Types]map[string]ads.Resource
	dirty     bool
	saved     time.Time
}

const (
	keepMark = "yokestall-xds-1"
	maxKept  = 256 << 20
)

// kept is what was read from the file.
type kept struct {
	at        time.Time
	resources [ads.Types]map[string]ads.Resource
	versions  [ads.Types]string
}

func newKeeper(path string, log *slog.Logger) *keeper {
	k := &keeper{path: path, log: log, work: make(chan *discoveryv3.DeltaDiscoveryResponse, 1)}
	for t := range k.resources {
		k.resources[t] = map[string]ads.Resource{}
	}
	k.done.Go(func() {
		for m := range k.work {
			if err := k.write(m); err != nil {
				k.log.Warn("caching the control plane version failed", "file", k.path, "err", err)
			}
		}
	})
	return k
}

// note remembers what was taken.
func (k *keeper) note(u *ads.Update) {
	for _, s := range u.Set {
		k.resources[u.Type][s.Name] = ads.Resource{Name: s.Name, Version: s.Version, Body: s.Body}
	}
	for _, name := range u.Removed {
		delete(k.resources[u.Type], name)
	}
	k.dirty = k.dirty || !u.Empty()
}

// save has the file written, not more often than each saveEvery, and never waits.
func (k *keeper) save(m *ads.Machine) {
	if !k.dirty || time.Since(k.saved) < saveEvery {
		return
	}
	out := k.message(m)
	select {
	case k.work <- out:
		k.dirty, k.saved = false, time.Now()
	default: // the disk is slow: the next one
	}
}

func (k *keeper) message(m *ads.Machine) *discoveryv3.DeltaDiscoveryResponse {
	out := &discoveryv3.DeltaDiscoveryResponse{}
	for t := range ads.Types {
		version, versions := m.Versions(t)
		out.Resources = append(out.Resources, &discoveryv3.Resource{Name: t.URL(), Version: version})
		for name, r := range k.resources[t] {
			if _, known := versions[name]; !known {
				delete(k.resources[t], name) // not asked for any more
			} else if r.Body != nil {
				out.Resources = append(out.Resources, &discoveryv3.Resource{Name: name, Version: r.Version, Resource: r.Body})
			}
		}
	}
	return out
}

// write puts the file in place, whole.
func (k *keeper) write(m *discoveryv3.DeltaDiscoveryResponse) error {
	body, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	sum := sha256.Sum256(body)
	f, err := os.CreateTemp(filepath.Dir(k.path), filepath.Base(k.path)+".new*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = fmt.Fprintf(f, "%s %d %s\n", keepMark, time.Now().UnixMilli(), hex.EncodeToString(sum[:]))
	if err == nil {
		_, err = f.Write(body)
	}
	if err == nil {
		err = f.Sync()
	}
	if err := errors.Join(err, f.Close()); err != nil {
		return err
	}
	return os.Rename(f.Name(), k.path)
}

// close has the last changes written and waits for that.
func (k *keeper) close(m *ads.Machine) {
	if k.dirty {
		k.work <- k.message(m)
	}
	close(k.work)
	k.done.Wait()
}

// load reads the file; nil if there is none.
func (k *keeper) load() (*kept, error) {
	f, err := os.Open(k.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxKept+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxKept {
		return nil, fmt.Errorf("over %d bytes", maxKept)
	}
	got, err := parseKept(text)
	if err == nil {
		for t := range got.resources {
			for name, r := range got.resources[t] {
				k.resources[t][name] = r
			}
		}
	}
	return got, err
}

func parseKept(text []byte) (*kept, error) {
	head, body, _ := bytes.Cut(text, []byte("\n"))
	var mark, sum string
	var at int64
	if n, err := fmt.Sscanf(string(head[:min(len(head), 200)]), "%s %d %s", &mark, &at, &sum); n != 3 || err != nil || mark != keepMark {
		return nil, errors.New("line 1: is no kept version")
	}
	if is := sha256.Sum256(body); hex.EncodeToString(is[:]) != sum {
		return nil, errors.New("is not whole: its bytes are not those that were written")
	}
	var m discoveryv3.DeltaDiscoveryResponse
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, fmt.Errorf("can't be read: %w", err)
	}
	out := &kept{at: time.UnixMilli(at)}
	for t := range out.resources {
		out.resources[t] = map[string]ads.Resource{}
	}
	for _, r := range m.GetResources() {
		if t, ok := ads.TypeOf(r.GetName()); ok && r.GetResource() == nil {
			out.versions[t] = r.GetVersion()
		} else if t, ok := ads.TypeOf(r.GetResource().GetTypeUrl()); ok {
			out.resources[t][r.GetName()] = ads.Resource{Name: r.GetName(), Version: r.GetVersion(), Body: r.GetResource()}
		}
	}
	return out, nil
}
