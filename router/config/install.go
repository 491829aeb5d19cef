package config

import (
	"cardamompoint.example/cardamompoint/code"
	"cardamompoint.example/cardamompoint/router/source"
	"cardamompoint.example/cardamompoint/router/template"
)

// install puts a unit's documents in force in next, or returns the reason why it
// can't.
func install(next *Snapshot, unit string, documents []source.Document) error {
	if workspace, ok := workspaceOf(unit); ok {
		return installRules(next, workspace, documents)
	}
	if kind, name := SplitKey(unit); kind == KindModel {
		return installModel(next, name, documents[0])
	}
	if documents[0].Deleted {
		return nil
	}
	return code.New(code.InvalidDocument, "the key has no known kind").At(unit)
}

// installRules compiles a workspace's template with its parameter values. A missing
// or deleted template takes the workspace out of force.
func installRules(next *Snapshot, workspace string, documents []source.Document) error {
	published := findDocument(documents, TemplateKey(workspace))
	if published.Version == 0 || published.Deleted {
		delete(next.Workspaces, workspace)
		return nil
	}
	parameters := findDocument(documents, ParametersKey(workspace))
	rules, err := template.Compile(workspace, published.Data, parameters.Data)
	if err != nil {
		return err
	}
	rules.TemplateVersion = published.Version
	rules.ParameterVersion = parameters.Version
	next.Workspaces[workspace] = rules
	return nil
}

// installModel puts the declaration of a model in force. A deleted declaration
// removes the model.
func installModel(next *Snapshot, name string, document source.Document) error {
	if document.Deleted {
		delete(next.Models, name)
		return nil
	}
	model, err := ParseModel(name, document.Version, document.Data)
	if err != nil {
		return err
	}
	next.Models[name] = model
	return nil
}
