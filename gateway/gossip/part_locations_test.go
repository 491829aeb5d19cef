package gossip

import (
	"fmt"
	"slices"
	"testing"

	"cardamompoint.example/cardamompoint/code"
)

func testLocations(count int) []PartLocation {
	locations := make([]PartLocation, count)
	for i := range locations {
		locations[i] = PartLocation{Hash: uint64(i) * 0x9e3779b97f4a7c15, Endpoint: fmt.Sprintf("i-%010x", i%160)}
	}
	return locations
}

func TestLocationsAreUnpackedAsTheyWere(t *testing.T) {
	for _, count := range []int{0, 1, 300, MaxPartLocations} {
		locations := testLocations(count)
		got, err := UnpackPartLocations(PackPartLocations(locations))
		if err != nil || !slices.Equal(got, locations) {
			t.Errorf("%d locations: got %d, %v", count, len(got), err)
		}
	}
}

func TestTooManyLocationsAreTruncated(t *testing.T) {
	got, err := UnpackPartLocations(PackPartLocations(testLocations(MaxPartLocations + 1)))
	if err != nil || len(got) != MaxPartLocations {
		t.Errorf("got %d locations, %v", len(got), err)
	}
}

// TestLocationTakesFewBytes bounds the size of the response to a VM that has started.
func TestLocationTakesFewBytes(t *testing.T) {
	const bytesPerLocation = 11
	if size := len(PackPartLocations(testLocations(MaxPartLocations))); size > bytesPerLocation*MaxPartLocations {
		t.Errorf("%d locations take %d bytes", MaxPartLocations, size)
	}
}

func TestMalformedLocationsAreRejected(t *testing.T) {
	valid := PackPartLocations(testLocations(3))
	for name, raw := range map[string][]byte{
		"empty":          nil,
		"another format": append([]byte{reportFormat + 1}, valid[1:]...),
		"truncated":      valid[:len(valid)-2],
		"trailing byte":  append(slices.Clone(valid), 0),
		"a huge count":   {reportFormat, 0xff, 0xff, 0xff, 0xff, 0x0f},
		"JSON":           []byte(`[{"p":1,"e":"i-1"}]`),
	} {
		if locations, err := UnpackPartLocations(raw); !code.Is(err, code.InvalidDocument) {
			t.Errorf("%s: got %v, %v", name, locations, err)
		}
	}
}

// FuzzUnpackPartLocations checks that arbitrary bytes decode to no more locations than bytes.
func FuzzUnpackPartLocations(f *testing.F) {
	f.Add(PackPartLocations(testLocations(3)))
	f.Add([]byte{reportFormat, 2})
	f.Fuzz(func(t *testing.T, raw []byte) {
		locations, err := UnpackPartLocations(raw)
		if err == nil && len(locations) > len(raw) {
			t.Errorf("%d locations of %d bytes", len(locations), len(raw))
		}
	})
}
