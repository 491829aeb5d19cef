package configcheck

import (
	"strconv"

	"cardamompoint.example/cardamompoint/platform"
)

// place is a place in the document. Its path is built only for findings that are kept.
type place struct {
	// list is the name of a list and index the position in it, -1 if the place is not in a list.
	list  string
	index int
	// field is a field of the entry, "" for the entry itself.
	field string
	// key is the position in the entry's list of keys plus 1, 0 for other places.
	key int
}

func inRoute(index int, field string) place {
	return place{list: platform.FieldRoutes, index: index, field: field}
}

func inService(index int, field string) place {
	return place{list: platform.FieldServices, index: index, field: field}
}

func inWorkspace(index int, field string) place {
	return place{list: platform.FieldWorkspaces, index: index, field: field}
}

// outsideLists returns the place of a field that belongs to no list.
func outsideLists(path string) place {
	return place{index: -1, field: path}
}

// String returns the JSON path.
func (p place) String() string {
	if p.index < 0 {
		return "$." + p.field
	}
	path := "$." + p.list + "[" + strconv.Itoa(p.index) + "]"
	if p.field != "" {
		path += "." + p.field
	}
	if p.key > 0 {
		path += "[" + strconv.Itoa(p.key-1) + "]"
	}
	return path
}
