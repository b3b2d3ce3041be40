package wire

import (
	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// maxUnpackedBytes limits the size of a decompressed message. The largest valid
	// message contains one section as large as the whole configuration document.
	maxUnpackedBytes = 4 << 20
	// windowBytes is the zstd window size, which limits the memory of an encoder.
	windowBytes = 256 << 10
)

// Packer compresses and decompresses messages. It is safe for concurrent use.
type Packer struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

// NewPacker returns a packer.
func NewPacker() (*Packer, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(windowBytes), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, errors.Wrap(err, "wire: create encoder")
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(maxUnpackedBytes), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, errors.Wrap(err, "wire: create decoder")
	}
	return &Packer{encoder: encoder, decoder: decoder}, nil
}

// Pack encodes and compresses a message.
func (p *Packer) Pack(m proto.Message) ([]byte, error) {
	raw, err := proto.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "wire: encode message")
	}
	return p.encoder.EncodeAll(raw, nil), nil
}

// Unpack decompresses and decodes a message into m. It fails if the decompressed
// message is larger than maxUnpackedBytes.
func (p *Packer) Unpack(compressed []byte, m proto.Message) error {
	raw, err := p.decoder.DecodeAll(compressed, nil)
	if err != nil {
		return errors.Wrap(err, "wire: decompress message")
	}
	return errors.Wrap(proto.Unmarshal(raw, m), "wire: decode message")
}
