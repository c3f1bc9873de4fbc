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

// Update returns the set of a directory's files, and an error for each faulty file, which begins with the file's name. For a
// faulty entry the set has the entry of old, if there is one. Exception: a file over MaxFileBytes counts as missing. A root
// bundle or ticket keys in such a file are dropped, and so is a pair if both its files are too long; if only one of them is,
// the old pair stays. defaultPair is the name of the pair for clients that name no server or an unknown one; "": the first pair
// by name.
func Update(old *Set, files []File, defaultPair string, now time.Time) (*Set, []error) {
	u := &updater{
		old: old, now: now, contents: map[string][]byte{},
		set: &Set{pairs: map[string]*Pair{}, roots: map[string]*x509.CertPool{}},
	}
	for _, f := range files {
		if len(f.Data) > MaxFileBytes {
			u.addError(f.Name, fmt.Errorf("has at least %d bytes; the limit is %d", len(f.Data), MaxFileBytes))
			continue
		}
		u.contents[f.Name] = f.Data
	}
	for _, file := range slices.Sorted(maps.Keys(u.contents)) {
		u.addFile(file)
	}
	u.set.index(defaultPair)
	if defaultPair != "" && u.set.pairs[defaultPair] == nil {
		u.addError(defaultPair+certSuffix, errors.New("is missing, but the setting first of [keys] names it"))
	}
	return u.set, u.errs
}

// updater computes a set for Update.
type updater struct {
	old      *Set
	now      time.Time
	contents map[string][]byte // by file name
	set      *Set
	errs     []error
}

// addError records an error of a file.
func (u *updater) addError(file string, err error) {
	u.errs = append(u.errs, fmt.Errorf("%s: %w", file, err))
}

// addFile adds the entry that a file belongs to. A pair is added with its certificate's file.
func (u *updater) addFile(file string) {
	suffix := path.Ext(file)
	name := strings.TrimSuffix(file, suffix)
	switch suffix {
	case keySuffix:
		if u.contents[name+certSuffix] == nil { // otherwise the key is read with its certificate
			u.addError(file, errors.New("there is no certificate file for this key"))
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

// addPair adds the pair with this name, whose certificate is in file, or the old pair if the new one is faulty.
func (u *updater) addPair(file, name string) {
	key, ok := u.contents[name+keySuffix]
	if !ok {
		u.addError(file, errors.New("there is no key file for this certificate"))
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

// setPair adds a pair to the set unless the pair is nil.
func (u *updater) setPair(name string, p *Pair) {
	if p != nil {
		u.set.pairs[name] = p
	}
}

// addRoots adds the bundle of root certificates in a file, or the old bundle if the file is faulty.
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

// addTicketKeys sets the session ticket keys to those of a file, or to the old keys if the file is faulty. Of several files the
// last one by name is used.
func (u *updater) addTicketKeys(file string) {
	keys, err := parseTicketKeys(u.contents[file])
	if err != nil {
		u.addError(file, err)
		keys = u.old.ticketKeys
	}
	u.set.ticketKeys = keys
}
