package configcheck

import "cardamompoint.example/cardamompoint/code"

// Finding is a fault of a configuration that the gateway applies nevertheless.
type Finding struct {
	Severity Severity `json:"severity"`
	// Code is code.InvalidDocument for errors and 0 for warnings.
	Code code.Code `json:"code,omitempty"`
	// Path is the JSON path of the entry in the document.
	Path string `json:"path,omitempty"`
	// Text is one sentence.
	Text string `json:"text"`
}

// FromError returns the finding for an error with a code, such as that of a document that can't be decoded.
func FromError(err error) Finding {
	coded := code.Of(err)
	return Finding{Severity: SeverityError, Code: coded.Code, Path: coded.Path, Text: coded.Message}
}

// String returns the finding as one line.
func (f Finding) String() string {
	if f.Code != code.OK {
		return string(f.Severity) + ": " + code.New(f.Code, "%s", f.Text).At(f.Path).Error()
	}
	text := string(f.Severity) + ": " + f.Text
	if f.Path != "" {
		text += " (at " + f.Path + ")"
	}
	return text
}
