package gobconn

import "errors"

// maxMessage is the length in bytes of a message of gob beyond which the connection is closed.
const maxMessage = 16 << 20

var errTooLong = errors.New("message is too long")

// frames follows the framing of gob messages: a length and as many bytes. A length below maxShort is one byte; a longer one is a byte
// with the negated number of bytes that follow, and these, the highest first.
type frames struct {
	// lengthLeft is how many bytes of the length are missing, bodyLeft how many of the message.
	lengthLeft int
	length     uint64
	bodyLeft   uint64
}

const (
	maxShort       = 0x7f
	maxLengthBytes = 8
)

// add follows bytes that were received. It returns the length of the longest message that began in them.
func (f *frames) add(p []byte) (longest int, err error) {
	for len(p) > 0 {
		if f.bodyLeft > 0 {
			n := min(f.bodyLeft, uint64(len(p)))
			f.bodyLeft -= n
			p = p[n:]
			continue
		}
		err = f.addLength(p[0])
		if err != nil {
			return 0, err
		}
		p = p[1:]
		if f.lengthLeft == 0 {
			f.bodyLeft, f.length = f.length, 0
			longest = max(longest, int(f.bodyLeft))
		}
	}
	return longest, nil
}

// addLength adds a byte of a length.
func (f *frames) addLength(b byte) (err error) {
	switch {
	case f.lengthLeft > 0:
		f.length = f.length<<8 | uint64(b)
		f.lengthLeft--
	case b <= maxShort:
		f.length = uint64(b)
	default:
		f.lengthLeft = -int(int8(b))
	}
	if f.lengthLeft > maxLengthBytes || f.length > maxMessage {
		return errTooLong
	}
	return nil
}

// partial reports whether a message has been received in part.
func (f *frames) partial() bool { return f.lengthLeft > 0 || f.bodyLeft > 0 }
