BEGIN TRANSACTION;
CREATE TABLE keys (key blob primary key, state integer not null, life integer not null, born real not null,
                   until real not null, body blob not null, result blob) without rowid;
INSERT INTO "keys" VALUES(X'6B657920444F554254',5,1,1005.5,15291.5,X'626F64792035',NULL);
INSERT INTO "keys" VALUES(X'6B6579204641494C4544',4,1,1004.5,15290.5,X'626F64792034',NULL);
INSERT INTO "keys" VALUES(X'6B65792046494E4953484544',3,1,1003.5,15289.5,X'626F64792033',X'726573756C742033');
INSERT INTO "keys" VALUES(X'6B657920494E54454E444544',1,1,1001.5,15287.5,X'626F64792031',NULL);
INSERT INTO "keys" VALUES(X'6B65792053544152544544',2,1,1002.5,15288.5,X'626F64792032',NULL);
CREATE TABLE meta (name text primary key, value) without rowid;
INSERT INTO "meta" VALUES('box','n3');
INSERT INTO "meta" VALUES('life',1);
INSERT INTO "meta" VALUES('version',1);
CREATE INDEX keys_until on keys (until);
COMMIT;
