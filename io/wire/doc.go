// Package wire holds the generated messages between hosts. The generated code is
// committed, so that a build needs no generator.
//
// # Usage
//
// After a change of wire.proto, with protoc and the two plugins pinned in
// tools/go.mod on the path:
//
//	protoc -I io/wire --go_out=. --go_opt=module=oriolebarrow \
//		--go-drpc_out=. --go-drpc_opt=module=oriolebarrow io/wire/wire.proto
package wire
