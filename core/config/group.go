package config

import "github.com/goccy/go-yaml/ast"

// extractGroups decodes the replica groups, which are most of a large section,
// without reflection, and returns the section without them. It decodes only lists
// of mappings with plain strings. If the groups have another form, it returns the
// section unchanged, so that the YAML decoder's conversions and faults apply.
func extractGroups(body ast.Node) (ast.Node, [][]replicaFields) {
	section, ok := body.(*ast.MappingNode)
	if !ok {
		return body, nil
	}
	for i, v := range section.Values {
		if v.Key.String() != "groups" {
			continue
		}
		groups, ok := decodeGroups(v.Value)
		if !ok {
			return body, nil
		}
		rest := *section
		rest.Values = append(append([]*ast.MappingValueNode(nil), section.Values[:i]...), section.Values[i+1:]...)
		return &rest, groups
	}
	return body, nil
}

func decodeGroups(n ast.Node) ([][]replicaFields, bool) {
	list, ok := n.(*ast.SequenceNode)
	if !ok || len(list.Values) == 0 {
		return nil, false
	}
	groups := make([][]replicaFields, 0, len(list.Values))
	for _, item := range list.Values {
		replicas, ok := item.(*ast.SequenceNode)
		if !ok {
			return nil, false
		}
		group := make([]replicaFields, 0, len(replicas.Values))
		for _, r := range replicas.Values {
			replica, ok := decodeReplica(r)
			if !ok {
				return nil, false
			}
			group = append(group, replica)
		}
		groups = append(groups, group)
	}
	return groups, true
}

func decodeReplica(n ast.Node) (replicaFields, bool) {
	var r replicaFields
	keys, ok := n.(*ast.MappingNode)
	if !ok {
		return r, false
	}
	for _, v := range keys.Values {
		text, ok := v.Value.(*ast.StringNode)
		if !ok {
			return r, false
		}
		// The parser has already refused duplicate keys.
		switch v.Key.String() {
		case "address":
			r.Address = text.Value
		case "data_centre":
			r.DataCentre = text.Value
		default:
			return r, false
		}
	}
	return r, true
}
