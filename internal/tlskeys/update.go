package tlskeys

import (
	"crypto/x509"
	"errors"
	"fmt"
	"maps"
	"path"
	"slices"
	"strings"
	"time"
)

// Update returns the set of a folder's files, and the faults by file. A faulty entry is taken from old, if it is
// there. defaultPair names the pair for clients that name no server, or an unknown one; "": the first pair by name.
func Update(old *Set, files []File, defaultPair string, now time.Time) (*Set, []error) {
	u := &updater{
		old: old, now: now, contents: map[string][]byte{},
		set: &Set{pairs: map[string]*Pair{}, roots: map[string]*x509.CertPool{}},
	}
	for _, f := range files {
		if len(f.Data) > MaxFileBytes {
			u.addError(f.Name, fmt.Errorf("%d bytes; %d at most", len(f.Data), MaxFileBytes))
			continue
		}
		u.contents[f.Name] = f.Data
	}
	for _, file := range slices.Sorted(maps.Keys(u.contents)) {
		u.addFile(file)
	}
	u.set.index(defaultPair)
	if defaultPair != "" && u.set.pairs[defaultPair] == nil {
		u.addError(defaultPair+certSuffix, errors.New("is to be the first one, and there is none"))
	}
	return u.set, u.errs
}

// updater makes a new set.
type updater struct {
	old      *Set
	now      time.Time
	contents map[string][]byte // by file name
	set      *Set
	errs     []error
}

// addError adds a addError of a file.
func (u *updater) addError(file string, err error) {
	u.errs = append(u.errs, fmt.Errorf("%s: %w", file, err))
}

// addFile adds the entry of a file.
func (u *updater) addFile(file string) {
	suffix := path.Ext(file)
	name := strings.TrimSuffix(file, suffix)
	switch suffix {
	case keySuffix:
		if u.contents[name+certSuffix] == nil { // else the key is read with its certificate
			u.addError(file, errors.New("there is no certificate beside it"))
			u.setPair(name, u.old.pairs[name])
		}
	case certSuffix:
		u.addPair(file, name)
	case rootsSuffix:
		u.addRoots(file, name)
	case ticketsSuffix:
		u.addTicketKeys(file)
	}
}

// addPair adds the pair whose certificate is in a file.
func (u *updater) addPair(file, name string) {
	key, ok := u.contents[name+keySuffix]
	if !ok {
		u.addError(file, errors.New("there is no key beside it"))
		u.setPair(name, u.old.pairs[name])
		return
	}
	p, err := parsePair(name, u.contents[file], key, u.now)
	if err != nil {
		u.addError(file, err)
		p = u.old.pairs[name]
	}
	u.setPair(name, p)
}

// setPair sets a pair unless it is nil.
func (u *updater) setPair(name string, p *Pair) {
	if p != nil {
		u.set.pairs[name] = p
	}
}

// addRoots adds the bundle of root certificates in a file.
func (u *updater) addRoots(file, name string) {
	pool, err := parseRoots(u.contents[file])
	if err != nil {
		u.addError(file, err)
		pool = u.old.roots[name]
	}
	if pool != nil {
		u.set.roots[name] = pool
	}
}

// addTicketKeys sets the keys of session tickets to those of a file. Of several files the last one by name counts.
func (u *updater) addTicketKeys(file string) {
	keys, err := parseTicketKeys(u.contents[file])
	if err != nil {
		u.addError(file, err)
		keys = u.old.ticketKeys
	}
	u.set.ticketKeys = keys
}
