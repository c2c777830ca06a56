/* Gives the schema library a translation unit before code is generated. */
typedef int at_proto_anchor_t;
