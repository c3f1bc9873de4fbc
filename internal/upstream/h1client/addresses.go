package h1client

import "yokestall/policy"

// addressTable says which endpoint serves at an address. A process that comes up at the address of one that has gone may be
// listed before the other one's removal is. Requests to the earlier endpoint must then not reach the later one.
type addressTable struct {
	owners map[string]policy.EndpointID
	// superseded holds the endpoints whose address another one has taken over, as they were listed last.
	superseded map[policy.EndpointID]Endpoint
}

func newAddressTable() addressTable {
	return addressTable{owners: map[string]policy.EndpointID{}, superseded: map[policy.EndpointID]Endpoint{}}
}

// claim records that an endpoint is listed at its address. listed returns the endpoint with an ID as the pool knows it, or
// nil. The result is false if the address belongs to another endpoint, which has started later or has taken it over. If
// taken is true, the address belonged to the endpoint with the ID previous until now.
func (t *addressTable) claim(
	update Endpoint, listed func(policy.EndpointID) *endpoint,
) (ok bool, previous policy.EndpointID, taken bool) {
	previous, owned := t.owners[update.Address]
	owner := listed(previous)
	if !owned || previous == update.ID || owner == nil || owner.address != update.Address {
		t.assign(update)
		return true, 0, false
	}
	if owner.incarnation > update.Incarnation || t.superseded[update.ID] == update {
		t.superseded[update.ID] = update
		return false, 0, false
	}
	t.superseded[previous] = Endpoint{ID: previous, Address: owner.address, Incarnation: owner.incarnation}
	t.assign(update)
	return true, previous, true
}

// assign records that an endpoint serves at its address.
func (t *addressTable) assign(update Endpoint) {
	t.owners[update.Address] = update.ID
	delete(t.superseded, update.ID)
}

// remove records that an endpoint is no longer listed at the address. It returns an endpoint whose address it had taken
// over, and which owns the address again.
func (t *addressTable) remove(id policy.EndpointID, address string) (restored Endpoint, ok bool) {
	if t.owners[address] != id {
		return Endpoint{}, false
	}
	delete(t.owners, address)
	for _, e := range t.superseded {
		if e.Address == address {
			t.assign(e)
			return e, true
		}
	}
	return Endpoint{}, false
}

// forget forgets that the endpoint had an address that another one has taken over.
func (t *addressTable) forget(id policy.EndpointID) { delete(t.superseded, id) }

// retain forgets the endpoints without an address of their own that are not listed any more.
func (t *addressTable) retain(listed map[policy.EndpointID]bool) {
	for id := range t.superseded {
		if !listed[id] {
			delete(t.superseded, id)
		}
	}
}
