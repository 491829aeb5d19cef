package settings

import (
	"fmt"

	"cardamompoint.example/cardamompoint/code"
)

// CheckFleet returns an error if two routers use the same name or address.
func CheckFleet(routers []*Router) error {
	seen := map[string]string{}
	for _, router := range routers {
		fields := []struct{ path, value string }{
			{"$.name", router.Name},
			{"$.callers", router.Callers},
			{"$.peers", router.Peers},
			{"$.operators", router.Operators},
		}
		for _, field := range fields {
			other, ok := seen[field.value]
			if ok {
				return code.New(code.InvalidSettings, "%q is already used in %s", field.value, other).
					At(fmt.Sprintf("%s: %s", router.Path, field.path))
			}
			seen[field.value] = router.Path
		}
	}
	return nil
}
