package settings

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"cardamompoint.example/cardamompoint/code"
)

// Load reads and validates the settings file at path and the secret that it names.
// Errors carry code.InvalidSettings and, for an invalid field, its JSON path.
func Load(path string) (*Router, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, code.Wrap(err, code.InvalidSettings, "the settings file can't be read")
	}
	router, err := Parse(raw)
	if err != nil {
		return nil, err
	}
	router.Path = path
	router.Secret, err = readSecret(filepath.Join(filepath.Dir(path), router.SecretFile))
	if err != nil {
		return nil, err
	}
	return router, nil
}

// Parse validates the settings in raw. It does not read the files that they name.
func Parse(raw []byte) (*Router, error) {
	router := Defaults()
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&router); err != nil {
		return nil, decodeError(err)
	}
	if decoder.More() {
		return nil, code.New(code.InvalidSettings, "unexpected data after the settings").At("$")
	}
	if err := Check(&router); err != nil {
		return nil, err
	}
	return &router, nil
}

// decodeError returns an InvalidSettings error with the JSON path of the field that
// could not be decoded.
func decodeError(err error) error {
	path := "$"
	if typeErr, ok := err.(*json.UnmarshalTypeError); ok && typeErr.Field != "" {
		path = "$." + typeErr.Field
	}
	if _, field, found := strings.Cut(err.Error(), "unknown field "); found {
		path = "$." + strings.Trim(field, `"`)
	}
	return code.Wrap(err, code.InvalidSettings, "the settings can't be decoded").At(path)
}

// minSecretBytes is the minimum length of the secret.
const minSecretBytes = 16

// readSecret reads a hexadecimal secret from the file at path.
func readSecret(path string) ([]byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, code.Wrap(err, code.InvalidSettings, "the secret file can't be read").At("$.secret_file")
	}
	secret, err := hex.DecodeString(strings.TrimSpace(string(raw)))
	if err != nil {
		return nil, code.Wrap(err, code.InvalidSettings, "the secret is not hexadecimal").At("$.secret_file")
	}
	if len(secret) < minSecretBytes {
		return nil, code.New(code.InvalidSettings, "the secret is shorter than %d bytes", minSecretBytes).At("$.secret_file")
	}
	return secret, nil
}
