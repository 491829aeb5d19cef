package config

import "strings"

// Kind is the kind of a published document.
type Kind int

// The kinds of documents.
const (
	KindUnknown Kind = iota
	KindTemplate
	KindParameters
	KindModel
)

const (
	workspacePrefix  = "workspaces/"
	modelPrefix      = "models/"
	templateSuffix   = "/template"
	parametersSuffix = "/parameters"
)

// TemplateKey returns the key of a workspace's template.
func TemplateKey(workspace string) string {
	return workspacePrefix + workspace + templateSuffix
}

// ParametersKey returns the key of a workspace's parameter values.
func ParametersKey(workspace string) string {
	return workspacePrefix + workspace + parametersSuffix
}

// SplitKey returns the kind of the document at key and the name of its workspace or
// model.
func SplitKey(key string) (Kind, string) {
	if name, ok := strings.CutPrefix(key, modelPrefix); ok {
		return KindModel, name
	}
	name, ok := strings.CutPrefix(key, workspacePrefix)
	if !ok {
		return KindUnknown, ""
	}
	if workspace, ok := strings.CutSuffix(name, templateSuffix); ok {
		return KindTemplate, workspace
	}
	if workspace, ok := strings.CutSuffix(name, parametersSuffix); ok {
		return KindParameters, workspace
	}
	return KindUnknown, ""
}
