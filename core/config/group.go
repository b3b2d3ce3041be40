package config

import "github.com/goccy/go-yaml/ast"

// takeGroups decodes the replica groups, most of a large section, without
// reflection. It returns the other keys for the decoder. A form other than lists
// of mappings with plain strings is left to the decoder, so that faults and
// conversions are the same in both ways.
func takeGroups(body ast.Node) (ast.Node, [][]replicaIn) {
	section, ok := body.(*ast.MappingNode)
	if !ok {
		return body, nil
	}
	for i, v := range section.Values {
		if v.Key.String() != "groups" {
			continue
		}
		groups, ok := groupsOf(v.Value)
		if !ok {
			return body, nil
		}
		rest := *section
		rest.Values = append(append([]*ast.MappingValueNode(nil), section.Values[:i]...), section.Values[i+1:]...)
		return &rest, groups
	}
	return body, nil
}

func groupsOf(n ast.Node) ([][]replicaIn, bool) {
	list, ok := n.(*ast.SequenceNode)
	if !ok || len(list.Values) == 0 {
		return nil, false
	}
	groups := make([][]replicaIn, 0, len(list.Values))
	for _, item := range list.Values {
		replicas, ok := item.(*ast.SequenceNode)
		if !ok {
			return nil, false
		}
		group := make([]replicaIn, 0, len(replicas.Values))
		for _, r := range replicas.Values {
			replica, ok := replicaOf(r)
			if !ok {
				return nil, false
			}
			group = append(group, replica)
		}
		groups = append(groups, group)
	}
	return groups, true
}

func replicaOf(n ast.Node) (replicaIn, bool) {
	var r replicaIn
	keys, ok := n.(*ast.MappingNode)
	if !ok {
		return r, false
	}
	for _, v := range keys.Values {
		text, ok := v.Value.(*ast.StringNode)
		if !ok {
			return r, false
		}
		// The parser refuses a key that is listed twice.
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
