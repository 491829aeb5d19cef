package source

import (
	"encoding/json"
	"slices"

	"k8s.io/klog/v2"

	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/internal/jsonhttp"
)

const (
	// fieldLevel is the nesting level of the fields of a listed document or VM in an answer.
	fieldLevel = 4
	// maxDepth bounds the nesting of an answer. Messages between routers nest documents a few
	// levels deeper.
	maxDepth = 500
)

// decodeChanges decodes the answer to a read of the configuration. It skips documents that can't be
// read; data that is nested too deeply becomes false, which no kind of document accepts.
func decodeChanges(raw []byte) (Changes, error) {
	var answer struct {
		Revision int64             `json:"revision"`
		Values   []json.RawMessage `json:"values"`
		More     bool              `json:"more"`
	}
	if err := unmarshal(raw, &answer); err != nil {
		return Changes{}, err
	}
	changes := Changes{Revision: answer.Revision, More: answer.More}
	for _, value := range answer.Values {
		var document Document
		if err := json.Unmarshal(value, &document); err != nil {
			klog.Warningf("config: ignored an invalid document with the key %q: %v.", document.Key, err)
			continue
		}
		changes.Values = append(changes.Values, document)
	}
	return changes, nil
}

// decodeList decodes the answer to a read of the list of VMs. An entry that names no VM to use is
// left out, and removes the VM that was listed at its address, unless another entry names it.
func decodeList(raw []byte) (VMList, error) {
	var answer struct {
		Version int64             `json:"version"`
		After   int64             `json:"after"`
		VMs     []json.RawMessage `json:"vms"`
		Removed []string          `json:"gone"`
	}
	if err := unmarshal(raw, &answer); err != nil {
		return VMList{}, err
	}
	list := VMList{Version: answer.Version, After: answer.After, Removed: answer.Removed}
	var odd []string
	for _, entry := range answer.VMs {
		vm, err := decodeVM(entry)
		if err == nil {
			list.VMs = append(list.VMs, vm)
			continue
		}
		klog.Warningf("member: ignored an invalid entry of the list of VMs with the address %q: %v.", vm.Address, err)
		if vm.Address != "" {
			odd = append(odd, vm.Address)
		}
	}
	list.Removed = append(list.Removed, unlisted(odd, list.VMs)...)
	return list, nil
}

// unlisted returns the addresses at which none of vms is.
func unlisted(addresses []string, vms []VM) []string {
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.Address] = true
	}
	return slices.DeleteFunc(addresses, func(address string) bool { return listed[address] })
}

// decodeVM decodes an entry of the list of VMs. Beside an error, the VM has the entry's address if
// that can be read.
func decodeVM(raw []byte) (VM, error) {
	var vm VM
	if err := json.Unmarshal(raw, &vm); err != nil {
		return vm, code.Wrap(err, code.InvalidDocument, "the entry can't be decoded")
	}
	return vm, vm.Check()
}

// unmarshal decodes the frame of an answer. Errors carry code.PlatformSilent.
func unmarshal(raw []byte, out any) error {
	if err := json.Unmarshal(jsonhttp.BoundDepth(raw, fieldLevel, maxDepth), out); err != nil {
		return code.Wrap(err, code.PlatformSilent, "the platform's answer can't be decoded")
	}
	return nil
}
