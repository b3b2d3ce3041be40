// Package wire contains the messages that hosts send to each other, generated from
// wire.proto, and Packer, which compresses them. The generated code is committed,
// so that a build needs no generator.
//
// # Usage
//
// After a change of wire.proto, generate the code with protoc. The two plugins,
// whose versions tools/go.mod pins, must be on the PATH:
//
//	protoc -I io/wire --go_out=. --go_opt=module=oriolebarrow \
//		--go-drpc_out=. --go-drpc_opt=module=oriolebarrow io/wire/wire.proto
package wire
