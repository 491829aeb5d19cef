package hostaddr

import "testing"

// TestAddressOfOneHostIsValid guards against requests to what is no address of one host.
func TestAddressOfOneHostIsValid(t *testing.T) {
	for text, want := range map[string]bool{
		"10.0.0.1:80": true, "[fd00::1]:65535": true, "127.0.0.1:80": true,
		"": false, ":80": false, "10.0.0.1": false, "10.0.0.1:0": false, "10.0.0.1:65536": false, "10.0.0.1:-1": false, "worker.example:80": false,
		"0.0.0.0:80": false, "[::]:80": false, "[::ffff:0.0.0.0]:80": false, "224.0.0.1:80": false, "[ff02::1]:80": false,
		"255.255.255.255:80": false, "[::ffff:255.255.255.255]:80": false, "[fe80::1%eth0]:80": false,
	} {
		if IsValid(text) != want {
			t.Errorf("%q: got %t", text, !want)
		}
	}
}
