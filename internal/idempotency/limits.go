package idempotency

// Limits are the limits of a Store. A store never exceeds them.
type Limits struct {
	// Entries is the maximum number of keys, at least 1.
	Entries int
	// Bytes is the maximum size of all entries: of keys and cached outcomes, plus EntryOverheadBytes for each entry.
	Bytes int64
	// Joiners is the maximum number of requests that wait for the outcome of one entry.
	Joiners int
	// Tenants is the number of tenants that share the store. If it is more than one, a tenant with entries gets no further
	// entry or cached outcome that would take it beyond an equal share of Entries or Bytes. The number of shares is the
	// number of tenants that have entries plus one.
	Tenants int
}

// EntryOverheadBytes is added to the size of an entry's key and outcome to get the entry's size.
const EntryOverheadBytes = 256

// entryBytes returns the size in bytes of an entry without an outcome.
func entryBytes(k Key) int64 { return int64(len(k.Name)) + EntryOverheadBytes }

// usage is the number and the total size of a tenant's entries.
type usage struct {
	entries int
	bytes   int64
}

// hasCapacity reports whether the limits allow a tenant with usage u another entry of size bytes.
func (s *Store) hasCapacity(u usage, size int64) bool {
	return len(s.entries) < s.limits.Entries && s.bytes+size <= s.limits.Bytes && s.withinFairShare(u, size)
}

// withinFairShare reports whether another entry of size bytes keeps a tenant with usage u within its equal share of the
// limits. One share is left for a tenant that has no entry yet. A tenant's first entry may be larger than its share.
func (s *Store) withinFairShare(u usage, size int64) bool {
	if s.limits.Tenants <= 1 {
		return true
	}
	shares := len(s.tenants) + 1
	if u.entries == 0 {
		shares++
	}
	return u.entries < max(1, s.limits.Entries/shares) && (u.entries == 0 || u.bytes+size <= s.limits.Bytes/int64(shares))
}

// outcomeFits reports whether the limits allow an outcome of size bytes in the entry of k.
func (s *Store) outcomeFits(k Key, size int64) bool {
	if s.bytes+size > s.limits.Bytes {
		return false
	}
	return s.limits.Tenants <= 1 || s.tenants[k.Tenant].bytes+size <= s.limits.Bytes/int64(len(s.tenants)+1)
}

// charge adds entries and bytes, which may be negative, to the usage of a tenant, and bytes to the size of the store.
func (s *Store) charge(tenant, entries int, bytes int64) {
	u := s.tenants[tenant]
	u.entries += entries
	u.bytes += bytes
	s.bytes += bytes
	if u.entries == 0 {
		delete(s.tenants, tenant)
	} else {
		s.tenants[tenant] = u
	}
}
