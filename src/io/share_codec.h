/*
 * share_codec.h - packs share messages for peer links (proto/shares.proto).
 */
#ifndef ALMONDTHREAD_IO_SHARE_CODEC_H
#define ALMONDTHREAD_IO_SHARE_CODEC_H

#include "almondthread/share.h"

#define AT_SHARE_BYTES_MAX 256u /* size of a packed message */

/* at_share_pack() packs a message into out. Returns its length in bytes. */
size_t at_share_pack(const at_name_t *workspace,
    const at_share_message_t *message, uint8_t out[AT_SHARE_BYTES_MAX]);
/* at_share_unpack() returns 0, or -1 if the bytes are not a share message. */
int at_share_unpack(const void *data, size_t len, at_name_t *workspace,
    at_share_message_t *message);

#endif
