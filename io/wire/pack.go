package wire

import (
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// maxUnpackedBytes bounds what a compressed message may expand to: one
	// section as large as the whole document, with room for its envelope.
	maxUnpackedBytes = 4 << 20
	// windowBytes keeps the memory of an encoder small.
	windowBytes = 256 << 10
)

// Packer compresses and expands messages. It is safe for concurrent use.
type Packer struct {
	enc *zstd.Encoder
	dec *zstd.Decoder
}

// NewPacker returns a packer.
func NewPacker() (*Packer, error) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(windowBytes), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, errors.Wrap(err, "wire: new encoder")
	}
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(maxUnpackedBytes), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, errors.Wrap(err, "wire: new decoder")
	}
	return &Packer{enc: enc, dec: dec}, nil
}

// Pack encodes and compresses a message.
func (p *Packer) Pack(m proto.Message) ([]byte, error) {
	raw, err := proto.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "wire: pack")
	}
	return p.enc.EncodeAll(raw, nil), nil
}

// Unpack expands and decodes a message of bounded size.
func (p *Packer) Unpack(compressed []byte, m proto.Message) error {
	raw, err := p.dec.DecodeAll(compressed, nil)
	if err != nil {
		return errors.Wrap(err, "wire: unpack")
	}
	return errors.Wrap(proto.Unmarshal(raw, m), "wire: unpack")
}
