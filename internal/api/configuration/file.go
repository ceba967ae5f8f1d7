package configuration

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/juju/errors"
	"sigs.k8s.io/yaml"

	"petreltide/internal/api/fault"
)

// ReadFile reads a declaration in YAML or JSON and returns it as JSON. A policy may name its program as a file, relative to
// the folder of the declaration; the content of that file is inlined.
func ReadFile(path string) ([]byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	doc := map[string]any{}
	if err := yaml.UnmarshalStrict(raw, &doc); err != nil {
		return nil, fault.New(fault.BadJSON, path, "%v", err)
	}
	if err := inlinePolicies(filepath.Dir(path), doc); err != nil {
		return nil, err
	}
	return json.Marshal(doc)
}

func inlinePolicies(folder string, doc map[string]any) error {
	policies := []any{doc["policy"]}
	if shadows, ok := doc["shadows"].([]any); ok {
		policies = append(policies, shadows...)
	}
	for _, p := range policies {
		policy, ok := p.(map[string]any)
		if !ok {
			continue
		}
		file, ok := policy["file"].(string)
		if !ok {
			continue
		}
		source, err := os.ReadFile(filepath.Join(folder, file))
		if err != nil {
			return errors.Trace(err)
		}
		delete(policy, "file")
		policy["source"] = string(source)
	}
	return nil
}
