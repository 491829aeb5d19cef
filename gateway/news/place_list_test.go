package news

import (
	"fmt"
	"slices"
	"testing"

	"cardamompoint.example/cardamompoint/code"
)

func somePlaces(count int) []PartLocation {
	places := make([]PartLocation, count)
	for i := range places {
		places[i] = PartLocation{Hash: uint64(i) * 0x9e3779b97f4a7c15, Endpoint: fmt.Sprintf("i-%010x", i%160)}
	}
	return places
}

func TestPlacesAreUnpackedAsTheyWere(t *testing.T) {
	for _, count := range []int{0, 1, 300, MaxPartLocations} {
		places := somePlaces(count)
		got, err := UnpackPartLocations(PackPartLocations(places))
		if err != nil || !slices.Equal(got, places) {
			t.Errorf("%d places: got %d, %v", count, len(got), err)
		}
	}
}

func TestTooManyPlacesAreCut(t *testing.T) {
	got, err := UnpackPartLocations(PackPartLocations(somePlaces(MaxPartLocations + 1)))
	if err != nil || len(got) != MaxPartLocations {
		t.Errorf("got %d places, %v", len(got), err)
	}
}

// TestPlaceTakesFewBytes bounds what a VM that has started is sent.
func TestPlaceTakesFewBytes(t *testing.T) {
	const bytesOfPlace = 11
	if size := len(PackPartLocations(somePlaces(MaxPartLocations))); size > bytesOfPlace*MaxPartLocations {
		t.Errorf("%d places take %d bytes", MaxPartLocations, size)
	}
}

func TestUnsoundPlacesAreRefused(t *testing.T) {
	sound := PackPartLocations(somePlaces(3))
	for name, raw := range map[string][]byte{
		"nothing":        nil,
		"another format": append([]byte{format + 1}, sound[1:]...),
		"cut":            sound[:len(sound)-2],
		"more behind":    append(slices.Clone(sound), 0),
		"a huge count":   {format, 0xff, 0xff, 0xff, 0xff, 0x0f},
		"JSON":           []byte(`[{"p":1,"e":"i-1"}]`),
	} {
		if places, err := UnpackPartLocations(raw); !code.Is(err, code.InvalidDocument) {
			t.Errorf("%s: got %v, %v", name, places, err)
		}
	}
}

// FuzzUnpackPlaces feeds bytes of any kind.
func FuzzUnpackPlaces(f *testing.F) {
	f.Add(PackPartLocations(somePlaces(3)))
	f.Add([]byte{format, 2})
	f.Fuzz(func(t *testing.T, raw []byte) {
		places, err := UnpackPartLocations(raw)
		if err == nil && len(places) > len(raw) {
			t.Errorf("%d places of %d bytes", len(places), len(raw))
		}
	})
}
