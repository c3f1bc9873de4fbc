package idempotency

// Limits bound a Store. They are never exceeded.
type Limits struct {
	// Entries is the number of keys, 1 or more.
	Entries int
	// Bytes counts keys and cached outcomes, and EntryOverheadBytes for each entry.
	Bytes int64
	// Joiners is the number of requests that may wait for the outcome of one entry.
	Joiners int
	// Tenants is the number of tenants that share the store. With more than one, no tenant takes more than an
	// equal part of it, where the parts are counted by the tenants that have entries, and one more.
	Tenants int
}

// EntryOverheadBytes is what an entry counts for besides its key and its outcome.
const EntryOverheadBytes = 256

// entryBytes is what a key without an outcome counts for.
func entryBytes(k Key) int64 { return int64(len(k.Name)) + EntryOverheadBytes }

// usage is what the entries of a tenant take of the limits.
type usage struct {
	entries int
	bytes   int64
}

// hasCapacity reports whether the limits allow a tenant that uses u one more entry of a size in bytes.
func (s *Store) hasCapacity(u usage, size int64) bool {
	return len(s.entries) < s.limits.Entries && s.bytes+size <= s.limits.Bytes && s.withinFairShare(u, size)
}

// withinFairShare reports whether a tenant that uses u may have one more entry of a size in bytes. The equal
// parts leave room for a tenant that has no entry yet.
func (s *Store) withinFairShare(u usage, size int64) bool {
	if s.limits.Tenants <= 1 {
		return true
	}
	parts := len(s.tenants) + 1
	if u.entries == 0 {
		parts++
	}
	return u.entries < max(1, s.limits.Entries/parts) && (u.entries == 0 || u.bytes+size <= s.limits.Bytes/int64(parts))
}

// outcomeFits reports whether the limits allow an outcome of a size in bytes in an entry of the key's tenant.
func (s *Store) outcomeFits(k Key, size int64) bool {
	if s.bytes+size > s.limits.Bytes {
		return false
	}
	return s.limits.Tenants <= 1 || s.tenants[k.Tenant].bytes+size <= s.limits.Bytes/int64(len(s.tenants)+1)
}

// charge adds entries and bytes, which may be negative, to what the store and a tenant use.
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
