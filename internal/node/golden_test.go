package node

import (
	"bytes"
	"encoding/json"
	"maps"
	"os"
	"reflect"
	"testing"
	"time"

	"yokestall/internal/discovery"
	"yokestall/internal/keepalive"
)

// goldenFile is a configuration file with every key that this package reads. The platform writes such files and passes the
// known list on, so that the names, types and units in them must not change.
const goldenFile = "testdata/golden/configuration.json"

// goldenInitialList returns the known list in the golden file. No field of it is zero.
func goldenInitialList() endpointList {
	return endpointList{Generation: 41, Full: true, Instances: []discovery.Instance{
		{
			InstanceID: "server-1", HostPort: "10.0.0.1:8001",
			Zone: "east", Cell: 2, Lifecycle: "Ready",
			Weight: 1.25, StartedAtMs: 1_699_999_990_001,
		},
		{
			InstanceID: "server-2", HostPort: "10.0.0.2:8002",
			Zone: "west", Cell: 3, Lifecycle: "Draining",
			Weight: 2.5, StartedAtMs: 1_699_999_980_002,
		},
	}}
}

// golden returns the text of the golden file.
func golden(t *testing.T) []byte {
	t.Helper()
	text, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestGoldenConfigurationParses(t *testing.T) {
	c, err := parseConfig(golden(t))
	if err != nil {
		t.Fatal(err)
	}
	if want := goldenInitialList(); !reflect.DeepEqual(c.InitialList, want) {
		t.Errorf("known list %+v, want %+v", c.InitialList, want)
	}
	addresses := [...]string{c.Listen, c.Discovery, c.AdminAddr}
	wantAddresses := [...]string{"127.0.0.1:8101", "127.0.0.1:8102", "127.0.0.1:8103"}
	if c.Name != "node-a" || addresses != wantAddresses || c.Seed != 0x8c1f30d27a5be964 {
		t.Errorf("got name %q, listen %q, discovery %q, mgmt %q, seed %x, want those of the golden file",
			c.Name, c.Listen, c.Discovery, c.AdminAddr, c.Seed)
	}
	if want := (Limits{Cores: 1.5, MemoryMB: 192, Sockets: 256}); c.Limits != want {
		t.Errorf("limits %+v, want %+v", c.Limits, want)
	}
	wantTenants := map[string]int{"acme": 0, "bolt": 1}
	wantClasses := map[string]int{"read": 0, "push": 1}
	wantZones := map[string]int{"east": 0, "west": 1}
	if !maps.Equal(c.Tenants, wantTenants) || !maps.Equal(c.Classes, wantClasses) || !maps.Equal(c.Zones, wantZones) {
		t.Errorf("got tenants %v, classes %v, zones %v, want those of the golden file", c.Tenants, c.Classes, c.Zones)
	}
	const ms = time.Millisecond
	if c.ConnIdle != 14001*ms || c.ConnectTimeout != 252*ms || c.DrainGrace != 353*ms {
		t.Errorf("got idle time %v, connect timeout %v, drain grace %v, want 14.001s, 252ms, 353ms",
			c.ConnIdle, c.ConnectTimeout, c.DrainGrace)
	}
	if want := (keepalive.Prices{Handshake: 0.042, Connection: 0.041}); c.IdlePrices != want || c.ListPrice != 0.043 {
		t.Errorf("got idle prices %+v, list price %v, want those of the golden file", c.IdlePrices, c.ListPrice)
	}
}

// The known list is encoded exactly as in the golden file.
func TestGoldenKnownListWrites(t *testing.T) {
	got, err := json.Marshal(goldenInitialList())
	if err != nil {
		t.Fatal(err)
	}
	var file map[string]json.RawMessage
	if err := json.Unmarshal(golden(t), &file); err != nil {
		t.Fatal(err)
	}
	if want := file["known"]; !bytes.Equal(got, want) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
