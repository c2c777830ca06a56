/*
 * share_codec.h - share messages as bytes for peer links.
 */
#ifndef ALMONDTHREAD_IO_SHARE_CODEC_H
#define ALMONDTHREAD_IO_SHARE_CODEC_H

#include "almondthread/share.h"

#define AT_SHARE_BYTES_MAX 256u /* of one packed message */

/* at_share_pack() writes at most AT_SHARE_BYTES_MAX bytes, returns how many. */
size_t at_share_pack(const at_name_t *workspace,
    const at_share_message_t *message, uint8_t out[AT_SHARE_BYTES_MAX]);
/* at_share_unpack() returns 0, or -1 when the bytes are no such message. */
int at_share_unpack(const void *data, size_t len, at_name_t *workspace,
    at_share_message_t *message);

#endif
