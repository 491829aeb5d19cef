package news

import (
	"fmt"
	"slices"
	"testing"

	"cardamompoint.example/cardamompoint/code"
)

func somePlaces(count int) []PartPlace {
	places := make([]PartPlace, count)
	for i := range places {
		places[i] = PartPlace{Part: uint64(i) * 0x9e3779b97f4a7c15, Endpoint: fmt.Sprintf("i-%010x", i%160)}
	}
	return places
}

func TestPlacesAreUnpackedAsTheyWere(t *testing.T) {
	for _, count := range []int{0, 1, 300, MostPlaces} {
		places := somePlaces(count)
		got, err := UnpackPlaces(PackPlaces(places))
		if err != nil || !slices.Equal(got, places) {
			t.Errorf("%d places: got %d, %v", count, len(got), err)
		}
	}
}

func TestTooManyPlacesAreCut(t *testing.T) {
	got, err := UnpackPlaces(PackPlaces(somePlaces(MostPlaces + 1)))
	if err != nil || len(got) != MostPlaces {
		t.Errorf("got %d places, %v", len(got), err)
	}
}

// TestPlaceTakesFewBytes bounds what a VM that has started is sent.
func TestPlaceTakesFewBytes(t *testing.T) {
	const bytesOfPlace = 11
	if size := len(PackPlaces(somePlaces(MostPlaces))); size > bytesOfPlace*MostPlaces {
		t.Errorf("%d places take %d bytes", MostPlaces, size)
	}
}

func TestUnsoundPlacesAreRefused(t *testing.T) {
	sound := PackPlaces(somePlaces(3))
	for name, raw := range map[string][]byte{
		"nothing":        nil,
		"another format": append([]byte{format + 1}, sound[1:]...),
		"cut":            sound[:len(sound)-2],
		"more behind":    append(slices.Clone(sound), 0),
		"a huge count":   {format, 0xff, 0xff, 0xff, 0xff, 0x0f},
		"JSON":           []byte(`[{"p":1,"e":"i-1"}]`),
	} {
		if places, err := UnpackPlaces(raw); !code.Is(err, code.InvalidDocument) {
			t.Errorf("%s: got %v, %v", name, places, err)
		}
	}
}

// FuzzUnpackPlaces feeds bytes of any kind.
func FuzzUnpackPlaces(f *testing.F) {
	f.Add(PackPlaces(somePlaces(3)))
	f.Add([]byte{format, 2})
	f.Fuzz(func(t *testing.T, raw []byte) {
		places, err := UnpackPlaces(raw)
		if err == nil && len(places) > len(raw) {
			t.Errorf("%d places of %d bytes", len(places), len(raw))
		}
	})
}
